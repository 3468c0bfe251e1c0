package org.radishspur.node.http;

import java.util.Optional;

import io.netty.buffer.ByteBuf;

/**
 * Lists the lines of a response's head, each with its syntax.
 */
public enum HeadLine {
    /**
     * The version, the status and a text, each behind one space; the last space may be missing where the text is (RFC
     * 9112, 4). A higher minor version is read as HTTP/1.1 (RFC 9110, 2.5).
     */
    STATUS {
        /** {@inheritDoc} */
        @Override
        public Optional<MessageFault> check(ByteBuf bytes, int start, int end) {
            if (checkBeginning(bytes, start, end).isPresent() || end < start + STATUS_OFFSET) {
                return Optional.of(MessageFault.VERSION);
            }
            int statusEnd = start + STATUS_OFFSET + STATUS_DIGITS;
            boolean separated = end == statusEnd || end > statusEnd && bytes.getByte(statusEnd) == ' ';
            if (!separated || !isStatus(bytes, start + STATUS_OFFSET)) {
                return Optional.of(MessageFault.STATUS);
            }
            return isText(bytes, statusEnd, end) ? Optional.empty() : Optional.of(MessageFault.REASON);
        }

        /** {@inheritDoc} */
        @Override
        public Optional<MessageFault> checkBeginning(ByteBuf bytes, int start, int end) {
            int known = Math.min(VERSION.length(), end - start);
            for (int index = 0; index < known; index++) {
                char expected = VERSION.charAt(index);
                byte found = bytes.getByte(start + index);
                if (expected == ANY_DIGIT ? !isDigit(found) : found != expected) {
                    return Optional.of(MessageFault.VERSION);
                }
            }
            return Optional.empty();
        }
    },
    /**
     * A name, a colon and a value (RFC 9112, 5). No space may stand between the name and the colon, and no line may go on
     * with the value of the one before: a proxy may mend both, but then passes on what the upstream didn't send.
     */
    FIELD {
        /** {@inheritDoc} */
        @Override
        public Optional<MessageFault> check(ByteBuf bytes, int start, int end) {
            if (bytes.getByte(start) == ' ' || bytes.getByte(start) == '\t') {
                return Optional.of(MessageFault.FOLDED_LINE);
            }
            int colon = start;
            while (colon < end && isTokenByte(bytes.getByte(colon))) {
                colon++;
            }
            if (colon == start || colon == end || bytes.getByte(colon) != ':') {
                return Optional.of(MessageFault.FIELD_NAME);
            }
            return isText(bytes, colon + 1, end) ? Optional.empty() : Optional.of(MessageFault.FIELD_VALUE);
        }
    };

    /** The first bytes of a status line, in which {@link #ANY_DIGIT} stands for the minor version. */
    private static final String VERSION = "HTTP/1.# ";

    private static final char ANY_DIGIT = '#';
    private static final int STATUS_OFFSET = VERSION.length();
    private static final int STATUS_DIGITS = 3;
    private static final byte DELETE = 0x7f;

    /** The bytes of a token that are neither letters nor digits (RFC 9110, 5.6.2). */
    private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";

    /**
     * Checks a line.
     *
     * @param bytes the bytes with the line.
     * @param start the index of its first byte.
     * @param end the index behind its last byte, of which its end isn't a part.
     * @return what is wrong with it, if anything is.
     */
    public abstract Optional<MessageFault> check(ByteBuf bytes, int start, int end);

    /**
     * Checks the first bytes of a line whose others haven't come.
     *
     * @param bytes the bytes with the line.
     * @param start the index of its first byte.
     * @param end the index behind the last byte that has come.
     * @return what is wrong with it, if that is certain.
     */
    public Optional<MessageFault> checkBeginning(ByteBuf bytes, int start, int end) {
        return Optional.empty();
    }

    /** Returns whether a number of three digits stands at an index, from 100 to 599. */
    private static boolean isStatus(ByteBuf bytes, int start) {
        byte first = bytes.getByte(start);
        return first >= '1' && first <= '5' && isDigit(bytes.getByte(start + 1)) && isDigit(bytes.getByte(start + 2));
    }

    private static boolean isDigit(byte found) {
        return found >= '0' && found <= '9';
    }

    private static boolean isTokenByte(byte found) {
        return found >= 'a' && found <= 'z'
                || found >= 'A' && found <= 'Z'
                || isDigit(found)
                || TOKEN_MARKS.indexOf(found) >= 0;
    }

    /** Returns whether some bytes are visible ones, spaces, tabs and such as other charsets use (RFC 9110, 5.5). */
    private static boolean isText(ByteBuf bytes, int start, int end) {
        for (int index = start; index < end; index++) {
            byte found = bytes.getByte(index);
            boolean control = found >= 0 && found < ' ' && found != '\t' || found == DELETE;
            if (control) {
                return false;
            }
        }
        return true;
    }
}
