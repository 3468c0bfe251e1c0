/**
 * Simulates control replicas under random schedules of faults in virtual time, and checks their invariants.
 */
package org.radishspur.testkit.schedule;
