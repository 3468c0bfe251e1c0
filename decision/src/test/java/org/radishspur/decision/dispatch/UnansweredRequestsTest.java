package org.radishspur.decision.dispatch;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UnansweredRequestsTest {
    private final UnansweredRequests requests = new UnansweredRequests();

    @Test
    void sumsUpThePromptTokensThatAreStillToBeProcessed() {
        requests.add("one", 50_000, 0, 10);
        requests.add("two", 600, 50_000, 20);
        assertThat(requests.pendingTokens()).isEqualTo(50_600);
    }

    @Test
    void returnsTheTokensAheadOfARemovedRequest() {
        requests.add("one", 50_000, 0, 10);
        requests.add("two", 600, 50_000, 20);
        assertThat(requests.remove("two")).isEqualTo(50_000);
        assertThat(requests.pendingTokens()).isEqualTo(50_000);
    }

    @Test
    void removesARequestOnce() {
        requests.add("one", 600, 0, 10);
        requests.remove("one");
        assertThat(requests.remove("one")).isZero();
        assertThat(requests.pendingTokens()).isZero();
        assertThat(requests.isEmpty()).isTrue();
    }

    @Test
    void returnsWhenTheOldestRequestWasSent() {
        assertThat(requests.oldestSentAt(99)).isEqualTo(99);
        requests.add("one", 0, 0, 20);
        requests.add("two", 0, 0, 10);
        assertThat(requests.oldestSentAt(99)).isEqualTo(10);
    }
}
