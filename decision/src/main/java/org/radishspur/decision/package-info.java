/**
 * The decisions about which request runs where and when. No class in or below this package reads a clock, a socket or a
 * file: callers pass in the time and all events.
 */
package org.radishspur.decision;
