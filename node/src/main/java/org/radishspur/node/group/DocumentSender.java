package org.radishspur.node.group;

import java.util.HashMap;
import java.util.Map;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.radishspur.node.fleet.DeflatedText;
import org.radishspur.node.fleet.FleetInbox;
import org.radishspur.node.fleet.FleetMessage;
import org.radishspur.node.peer.PeerCodec;
import org.radishspur.replication.state.CatalogueState;

/**
 * Sends each catalogue to the entries and schedulers that poll, once over each connection. It is compressed and encoded
 * only once.
 *
 * <p>Guards against overload of the leader by a large catalogue. Receivers poll several times a second, and with their
 * old revision as long as the catalogue is in transit. A hundred of them would get hundreds of copies, for which there
 * is neither enough memory nor enough time between two heartbeats.
 */
final class DocumentSender {
    /**
     * The time after which a document is sent again if the receiver still lacks it, in milliseconds; a slow link needs
     * 500 ms.
     */
    private static final long RESEND_AFTER_MILLIS = 3_000;

    private final Map<String, Sent> sent = new HashMap<>();
    private ByteBuf encoded = Unpooled.EMPTY_BUFFER;
    private long encodedRevision = Long.MIN_VALUE;

    /** Sends a document, unless it was sent to the receiver recently. */
    void send(FleetInbox.Sender receiver, CatalogueState.Document document, long now) {
        Sent previous = sent.get(receiver.peer());
        if (previous != null
                && previous.revision() == document.revision()
                && now - previous.sentAt() < RESEND_AFTER_MILLIS) {
            return;
        }
        if (encodedRevision != document.revision()) {
            encoded.release();
            encoded = PeerCodec.encodeLarge(
                    new FleetMessage.Document(document.revision(), DeflatedText.of(document.text())),
                    FleetMessage.class);
            encodedRevision = document.revision();
        }
        sent.put(receiver.peer(), new Sent(document.revision(), now));
        receiver.sendShared(encoded);
    }

    /** Removes a receiver whose connection is closed. */
    void remove(FleetInbox.Sender receiver) {
        sent.remove(receiver.peer());
    }

    /**
     * Records the latest document that was sent over a connection.
     *
     * @param revision the revision of the document.
     * @param sentAt when it was sent, by the monotonic clock in milliseconds.
     */
    private record Sent(long revision, long sentAt) {}
}
