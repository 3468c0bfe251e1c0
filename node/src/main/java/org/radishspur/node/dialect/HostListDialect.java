package org.radishspur.node.dialect;

import java.util.List;
import java.util.Optional;

import org.radishspur.model.catalogue.Upstream;

/**
 * Decodes the platform's list of hosts, which is read page by page.
 */
public interface HostListDialect {
    /**
     * Returns the path under which a page is requested.
     *
     * @param page the token of the page, taken from the page before it, or nothing for the first page.
     * @return the path with its query.
     */
    String pagePath(Optional<String> page);

    /**
     * Decodes a page. An entry that can't be decoded names no upstream, whatever it holds, and the others hold.
     *
     * @param body the body of the answer.
     * @return the decoded page.
     * @throws org.radishspur.model.error.RadishspurException if the body isn't a page.
     */
    Page decodePage(String body);

    /**
     * Holds one page of the list.
     *
     * @param upstreams the upstreams on it.
     * @param skipped its other entries.
     * @param nextPage the token of the next page, or nothing on the last page.
     */
    record Page(List<Upstream> upstreams, SkippedEntries skipped, Optional<String> nextPage) {}
}
