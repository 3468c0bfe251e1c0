package org.radishspur.node.http;

/**
 * Lists why bytes are no message of HTTP/1.1.
 */
public enum MessageFault {
    /** The version isn't 1.x, or a status line doesn't begin with it and one space. */
    VERSION("version"),
    /** The target of a request holds a byte that isn't a visible one of ASCII (RFC 9112, 3.2). */
    TARGET("target"),
    /** The status isn't a number of three digits from 100 to 599 that a space or the end of the line follows. */
    STATUS("status"),
    /** The text behind the status holds a control byte. */
    REASON("reason"),
    /** A field has no name, or one with a byte that isn't part of a token, such as a space or a control byte. */
    FIELD_NAME("field-name"),
    /** The value of a field holds a control byte. */
    FIELD_VALUE("field-value"),
    /** A line begins with a space, so that it would go on with the value of the one before. */
    FOLDED_LINE("folded-line"),
    /** A line ends otherwise than with a carriage return and a line feed. */
    LINE_END("line-end"),
    /** The body is in a coding that wasn't asked for: any but chunks, once (RFC 9112, 6.1). */
    TRANSFER_CODING("transfer-coding"),
    /** The response changes to a protocol that wasn't asked for (RFC 9110, 15.2.2). */
    PROTOCOL_CHANGE("protocol-change"),
    /** The connection ended within the message. */
    INCOMPLETE("incomplete"),
    /** The head is longer than any that is read. */
    TOO_LONG("too-long"),
    /** The head consists of two: a status line, or another identifier of a request, stands within it. */
    JOINED("joined"),
    /** The decoder has refused the fields, the length, the codings or the chunks. */
    REFUSED_BY_DECODER("refused-by-decoder");

    private final String code;

    MessageFault(String code) {
        this.code = code;
    }

    /**
     * Returns the text of this fault for logs.
     *
     * @return the text.
     */
    public String code() {
        return code;
    }
}
