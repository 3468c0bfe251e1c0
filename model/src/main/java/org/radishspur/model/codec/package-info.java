/**
 * Reads and writes the JSON of operators' files and calls.
 */
package org.radishspur.model.codec;
