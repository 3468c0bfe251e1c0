package org.radishspur.node.peer;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
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
                .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                .addLast(new PeerCodec<>(type));
    }

    /**
     * Encodes a message that goes to many receivers; a channel takes the bytes in place of the message.
     *
     * @param message the message.
     * @param type the sealed type of the messages.
     * @param <M> the type of the messages.
     * @return the bytes, which the caller releases.
     */
    public static <M> ByteBuf encode(M message, Class<M> type) {
        return Unpooled.wrappedBuffer(MessagePack.INSTANCE.encode(message, type));
    }

    /**
     * Encodes a large message that goes to many receivers. Its bytes lie outside of the heap, where the sockets share them; bytes
     * on the heap are copied for each.
     *
     * @param message the message.
     * @param type the sealed type of the messages.
     * @param <M> the type of the messages.
     * @return the bytes, which the caller releases.
     */
    public static <M> ByteBuf encodeLarge(M message, Class<M> type) {
        byte[] bytes = MessagePack.INSTANCE.encode(message, type);
        return Unpooled.directBuffer(bytes.length).writeBytes(bytes);
    }

    /** {@inheritDoc} */
    @Override
    protected void encode(ChannelHandlerContext context, M message, List<Object> out) {
        out.add(context.alloc().buffer().writeBytes(MessagePack.INSTANCE.encode(message, type)));
    }

    /** {@inheritDoc} */
    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf frame, List<Object> out) {
        out.add(MessagePack.INSTANCE.decode(ByteBufUtil.getBytes(frame), type));
    }
}
