package org.radishspur.node.dialect;

import java.util.List;
import java.util.Optional;

import org.radishspur.model.catalogue.Upstream;

/**
 * Reads the platform's list of hosts page by page.
 */
public interface HostListDialect {
    /**
     * Names the resource of a page.
     *
     * @param page what the page before has named as the next one, or nothing for the first page.
     * @return the path with its query.
     */
    String path(Optional<String> page);

    /**
     * Decodes a page. Entries that can't be read are left out.
     *
     * @param body the body of the answer.
     * @return the page.
     * @throws org.radishspur.model.error.RadishspurException if the body is no page.
     */
    Page page(String body);

    /**
     * Holds one page.
     *
     * @param upstreams the upstreams on it.
     * @param next names the next page, or nothing on the last one.
     */
    record Page(List<Upstream> upstreams, Optional<String> next) {}
}
