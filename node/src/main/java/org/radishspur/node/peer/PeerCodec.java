package org.radishspur.node.peer;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.MessageToMessageCodec;
import org.radishspur.replication.codec.MessagePack;

/**
 * Turns length-prefixed MessagePack frames into messages of one family and back.
 *
 * @param <M> the sealed type of the messages.
 */
public final class PeerCodec<M> extends MessageToMessageCodec<ByteBuf, M> {
    /** The version of the nodes' protocol; nodes of another version are refused. */
    static final int PROTOCOL_VERSION = 1;

    private static final int LENGTH_BYTES = 4;

    private final Class<M> type;

    private PeerCodec(Class<M> type) {
        super((Class<? extends ByteBuf>) ByteBuf.class, type);
        this.type = type;
    }

    /**
     * Puts framing and decoding into the pipeline of a channel.
     *
     * @param channel the channel.
     * @param frameBytes the largest frame.
     * @param type the sealed type of the messages.
     * @param <M> the type of the messages.
     */
    public static <M> void install(Channel channel, int frameBytes, Class<M> type) {
        channel.pipeline()
                .addLast(new LengthFieldBasedFrameDecoder(frameBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new PeerCodec<>(type));
    }

    /**
     * Encodes a message that goes to many receivers; a channel takes the bytes in place of the message.
     *
     * @param message the message.
     * @param type the sealed type of the messages.
     * @param <M> the type of the messages.
     * @return the bytes of the whole frame, which the caller releases.
     */
    public static <M> ByteBuf encode(M message, Class<M> type) {
        byte[] bytes = MessagePack.INSTANCE.encode(message, type);
        return frame(Unpooled.buffer(LENGTH_BYTES + bytes.length), bytes);
    }

    /**
     * Encodes a large message that goes to many receivers. Its bytes lie outside of the heap, where the sockets share them; bytes
     * on the heap are copied for each.
     *
     * @param message the message.
     * @param type the sealed type of the messages.
     * @param <M> the type of the messages.
     * @return the bytes of the whole frame, which the caller releases.
     */
    public static <M> ByteBuf encodeLarge(M message, Class<M> type) {
        byte[] bytes = MessagePack.INSTANCE.encode(message, type);
        return frame(Unpooled.directBuffer(LENGTH_BYTES + bytes.length), bytes);
    }

    /** Writes length and message into one buffer; a buffer each would cost a slower write. */
    private static ByteBuf frame(ByteBuf buffer, byte[] message) {
        return buffer.writeInt(message.length).writeBytes(message);
    }

    /** {@inheritDoc} */
    @Override
    protected void encode(ChannelHandlerContext context, M message, List<Object> out) {
        byte[] bytes = MessagePack.INSTANCE.encode(message, type);
        out.add(frame(context.alloc().buffer(LENGTH_BYTES + bytes.length), bytes));
    }

    /** {@inheritDoc} */
    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf frame, List<Object> out) {
        out.add(MessagePack.INSTANCE.decode(ByteBufUtil.getBytes(frame), type));
    }
}
