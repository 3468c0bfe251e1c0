/**
 * Contains stand-in upstreams, load generation, fault schedules, experiments and measurements. None of it is shipped.
 */
package org.radishspur.testkit;
