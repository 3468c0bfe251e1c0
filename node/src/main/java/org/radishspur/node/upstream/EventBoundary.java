package org.radishspur.node.upstream;

/**
 * Follows an event stream byte by byte and determines where its lines and events end. A line ends with a line feed, a
 * carriage return, or both; an empty line ends an event.
 */
public final class EventBoundary {
    private static final String RETRY_FIELD = "retry";

    private final StringBuilder fieldName = new StringBuilder();
    private boolean lineEmpty = true;
    private boolean lineBlank = true;
    private boolean nameComplete;
    private boolean afterCarriageReturn;
    private boolean fieldReceived;

    /**
     * Appends a byte of the stream.
     *
     * @param value the byte.
     * @return what the byte is.
     */
    public Position add(byte value) {
        boolean secondOfLineEnd = afterCarriageReturn && value == '\n';
        afterCarriageReturn = value == '\r';
        if (secondOfLineEnd) {
            return Position.AFTER_LINE_END;
        }
        if (value == '\n' || value == '\r') {
            return endLine();
        }
        lineEmpty = false;
        lineBlank &= Character.isWhitespace(value);
        nameComplete |= value == ':';
        if (!nameComplete && fieldName.length() <= RETRY_FIELD.length()) {
            fieldName.append((char) value);
        }
        return Position.INSIDE_LINE;
    }

    private Position endLine() {
        boolean eventEnds = lineEmpty;
        fieldReceived = !eventEnds && (fieldReceived || isFieldOfEvent());
        startLine();
        return eventEnds ? Position.EVENT_END : Position.LINE_END;
    }

    /** Returns whether the line is part of an event, which comments, blank lines and the time to reconnect are not. */
    private boolean isFieldOfEvent() {
        boolean comment = nameComplete && fieldName.isEmpty();
        return !lineBlank && !comment && !RETRY_FIELD.contentEquals(fieldName);
    }

    private void startLine() {
        fieldName.setLength(0);
        lineEmpty = true;
        lineBlank = true;
        nameComplete = false;
    }

    /**
     * Returns whether a stream that ended here would end inside an event, or inside a line.
     *
     * @return whether it would.
     */
    public boolean isInsideEvent() {
        return fieldReceived || !lineBlank;
    }

    /** Discards the event that has begun, after which another connection continues the stream with a whole event. */
    public void discardEvent() {
        startLine();
        fieldReceived = false;
        afterCarriageReturn = false;
    }

    /**
     * Where a byte stands in an event stream.
     */
    public enum Position {
        /** The byte belongs to the content of a line. */
        INSIDE_LINE,
        /** The byte ends a line. */
        LINE_END,
        /** The byte ends an empty line, and with it an event. */
        EVENT_END,
        /** The byte is the line feed after a carriage return that has ended a line or an event. */
        AFTER_LINE_END
    }
}
