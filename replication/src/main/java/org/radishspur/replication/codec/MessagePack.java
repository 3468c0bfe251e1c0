package org.radishspur.replication.codec;

import java.io.IOException;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.error.RadishspurException;

/**
 * Encodes and decodes records as MessagePack. The decoder skips components that a newer version of a record has added,
 * and gives default values to those that an older version doesn't have.
 */
public enum MessagePack {
    /** The only instance; it is thread-safe. */
    INSTANCE;

    private final Format.Factory formats = new Format.Factory();

    /**
     * Encodes a record as its own class.
     *
     * @param value the record.
     * @return the encoded bytes.
     * @throws RadishspurException if the record can't be encoded.
     */
    public byte[] encode(Object value) {
        return encode(value, value.getClass());
    }

    /**
     * Encodes a value as a given type, which may be a sealed type that the class of the value implements.
     *
     * @param value the value.
     * @param type the type as which the value will be decoded.
     * @return the encoded bytes.
     * @throws RadishspurException if the value can't be encoded.
     */
    public byte[] encode(Object value, Class<?> type) {
        try (MessageBufferPacker packer = org.msgpack.core.MessagePack.newDefaultBufferPacker()) {
            formats.of(type).write(value, packer);
            return packer.toByteArray();
        } catch (IOException exception) {
            throw new RadishspurException(ErrorCode.FRAME_INVALID, "can't encode " + value.getClass(), exception);
        }
    }

    /**
     * Decodes a value.
     *
     * @param bytes the encoded bytes of one value.
     * @param type the type as which the value was encoded.
     * @param <T> the type of the value.
     * @return the value.
     * @throws RadishspurException if the bytes don't hold a value of this type.
     */
    public <T> T decode(byte[] bytes, Class<T> type) {
        return decode(bytes, 0, bytes.length, type);
    }

    /**
     * Decodes a value that lies among other bytes.
     *
     * @param bytes the bytes.
     * @param offset the position of the value in them.
     * @param length the number of bytes of the value.
     * @param type the type as which the value was encoded.
     * @param <T> the type of the value.
     * @return the value.
     * @throws RadishspurException if the bytes don't hold a value of this type.
     */
    public <T> T decode(byte[] bytes, int offset, int length, Class<T> type) {
        try (MessageUnpacker unpacker = org.msgpack.core.MessagePack.newDefaultUnpacker(bytes, offset, length)) {
            return type.cast(formats.of(type).read(unpacker));
        } catch (IOException | MessagePackException | IllegalArgumentException exception) {
            throw new RadishspurException(ErrorCode.FRAME_INVALID, "can't decode a " + type.getSimpleName(), exception);
        }
    }
}
