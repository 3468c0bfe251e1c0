package org.radishspur.node.group;

import org.junit.jupiter.api.Test;
import org.radishspur.node.fleet.RecordingSender;
import org.radishspur.replication.state.CatalogueState;

import static org.assertj.core.api.Assertions.assertThat;

class DocumentSenderTest {
    private final DocumentSender documentSender = new DocumentSender();
    private final RecordingSender receiver = new RecordingSender("one");

    private static CatalogueState.Document document(long revision) {
        return new CatalogueState.Document(revision, "{}");
    }

    /** Guards against a further copy for each request that arrives while the document is in transit. */
    @Test
    void sendsADocumentOnceOverAConnection() {
        for (long now = 0; now < 2_000; now += 200) {
            documentSender.send(receiver, document(1), now);
        }
        assertThat(receiver.sharedCount()).isEqualTo(1);
    }

    @Test
    void sendsEachNewerDocument() {
        documentSender.send(receiver, document(1), 0);
        documentSender.send(receiver, document(2), 10);
        assertThat(receiver.sharedCount()).isEqualTo(2);
    }

    @Test
    void sendsADocumentAgainOverANewConnection() {
        documentSender.send(receiver, document(1), 0);
        documentSender.remove(receiver);
        documentSender.send(receiver, document(1), 10);
        assertThat(receiver.sharedCount()).isEqualTo(2);
    }

    @Test
    void sendsADocumentAgainAfterTheResendTime() {
        documentSender.send(receiver, document(1), 0);
        documentSender.send(receiver, document(1), 3_000);
        assertThat(receiver.sharedCount()).isEqualTo(2);
    }
}
