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
 * Encodes and decodes the messages of one sealed type as length-prefixed MessagePack frames.
 *
 * @param <M> the sealed type of the messages.
 */
public final class PeerCodec<M> extends MessageToMessageCodec<ByteBuf, M> {
    /** The version of the protocol between nodes; connections of another version are refused. */
    static final int PROTOCOL_VERSION = 1;

    private static final int LENGTH_BYTES = 4;

    private final Class<M> type;

    private PeerCodec(Class<M> type) {
        super((Class<? extends ByteBuf>) ByteBuf.class, type);
        this.type = type;
    }

    /**
     * Adds the frame decoder and this codec to the pipeline of a channel.
     *
     * @param channel the channel.
     * @param frameBytes the maximum size of a frame in bytes; a larger frame fails the decoding.
     * @param type the sealed type of the messages.
     * @param <M> the type of the messages.
     */
    public static <M> void install(Channel channel, int frameBytes, Class<M> type) {
        channel.pipeline()
                .addLast(new LengthFieldBasedFrameDecoder(frameBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new PeerCodec<>(type));
    }

    /**
     * Encodes a message once for many receivers; the buffer is written to a channel in place of the message.
     *
     * @param message the message.
     * @param type the sealed type of the messages.
     * @param <M> the type of the messages.
     * @return the complete frame, which the caller must release.
     */
    public static <M> ByteBuf encode(M message, Class<M> type) {
        byte[] bytes = MessagePack.INSTANCE.encode(message, type);
        return frame(Unpooled.buffer(LENGTH_BYTES + bytes.length), bytes);
    }

    /**
     * Encodes a large message once for many receivers into a direct buffer. All sockets write from the same direct
     * buffer, whereas a heap buffer is copied for each of them.
     *
     * @param message the message.
     * @param type the sealed type of the messages.
     * @param <M> the type of the messages.
     * @return the complete frame, which the caller must release.
     */
    public static <M> ByteBuf encodeLarge(M message, Class<M> type) {
        byte[] bytes = MessagePack.INSTANCE.encode(message, type);
        return frame(Unpooled.directBuffer(LENGTH_BYTES + bytes.length), bytes);
    }

    /** Writes the length and the message into one buffer, which is written faster than two. */
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
