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
 * Sends the catalogue to all who follow: compressed and encoded once, and once over each connection.
 *
 * <p>Guards against a large catalogue that takes the leader down: followers ask several times a second and go on asking with
 * their old revision while the answer is under way, so that a hundred of them would be sent hundreds of copies, for which there is
 * neither memory nor time between two heartbeats.
 */
final class DocumentSender {
    /** After so long without effect a document is sent once more, in milliseconds; a slow link takes half a second for it. */
    private static final long RESEND_AFTER_MILLIS = 3_000;

    private final Map<String, Sent> sent = new HashMap<>();
    private ByteBuf encoded = Unpooled.EMPTY_BUFFER;
    private long encodedRevision = Long.MIN_VALUE;

    /** Sends a document, unless it is under way to the receiver. */
    void send(FleetInbox.Sender receiver, CatalogueState.Document document, long now) {
        Sent before = sent.get(receiver.peer());
        if (before != null && before.revision() == document.revision() && now - before.sentAt() < RESEND_AFTER_MILLIS) {
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

    /** Forgets a receiver whose connection is gone. */
    void remove(FleetInbox.Sender receiver) {
        sent.remove(receiver.peer());
    }

    /**
     * Remembers what was sent over a connection.
     *
     * @param revision the revision of the document.
     * @param sentAt when, in milliseconds.
     */
    private record Sent(long revision, long sentAt) {}
}
