package org.radishspur.node.group;

import org.junit.jupiter.api.Test;
import org.radishspur.node.fleet.RecordingSender;
import org.radishspur.replication.state.CatalogueState;

import static org.assertj.core.api.Assertions.assertThat;

class DocumentSenderTest {
    private final DocumentSender documents = new DocumentSender();
    private final RecordingSender receiver = new RecordingSender("one");

    private static CatalogueState.Document document(long revision) {
        return new CatalogueState.Document(revision, "{}");
    }

    /** Guards against copies for each question that is asked while the document is under way. */
    @Test
    void sendsADocumentOnceOverAConnection() {
        for (long now = 0; now < 2_000; now += 200) {
            documents.send(receiver, document(1), now);
        }
        assertThat(receiver.shared()).isEqualTo(1);
    }

    @Test
    void sendsEachNewerDocument() {
        documents.send(receiver, document(1), 0);
        documents.send(receiver, document(2), 10);
        assertThat(receiver.shared()).isEqualTo(2);
    }

    @Test
    void sendsItAgainOverAnotherConnection() {
        documents.send(receiver, document(1), 0);
        documents.forget(receiver);
        documents.send(receiver, document(1), 10);
        assertThat(receiver.shared()).isEqualTo(2);
    }

    @Test
    void sendsItAgainWhereItHasHadNoEffectForLong() {
        documents.send(receiver, document(1), 0);
        documents.send(receiver, document(1), 3_000);
        assertThat(receiver.shared()).isEqualTo(2);
    }
}
