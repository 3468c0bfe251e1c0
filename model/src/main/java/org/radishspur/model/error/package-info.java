/**
 * Lists the errors of the system and the reasons for which it refuses requests, with a stable code for each.
 */
package org.radishspur.model.error;
