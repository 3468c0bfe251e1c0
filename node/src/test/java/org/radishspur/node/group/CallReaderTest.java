package org.radishspur.node.group;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CallReaderTest {
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int LARGE = MAX_BODY_BYTES / 2 + 1;
    private static final int SMALL = 1_000;

    private final CallBudget budget = new CallBudget(MAX_BODY_BYTES);

    /** A connection of an operator, and the sizes of the bodies that were passed on. */
    private final class Connection {
        private final CallReader reader = new CallReader(budget, MAX_BODY_BYTES);
        private final List<Integer> received = new ArrayList<>();
        private final EmbeddedChannel channel =
                new EmbeddedChannel(reader, new SimpleChannelInboundHandler<FullHttpRequest>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
                        received.add(request.content().readableBytes());
                    }
                });

        void begin(int statedBytes) {
            DefaultHttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.PUT, "/config");
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, statedBytes);
            channel.writeOneInbound(head);
        }

        void beginChunked() {
            DefaultHttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.PUT, "/config");
            head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
            channel.writeOneInbound(head);
        }

        void add(int bytes) {
            channel.writeOneInbound(new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[bytes])));
        }

        void end(int bytes) {
            channel.writeOneInbound(new DefaultLastHttpContent(Unpooled.wrappedBuffer(new byte[bytes])));
        }

        void call(int bytes) {
            begin(bytes);
            end(bytes);
        }

        boolean isReading() {
            return channel.config().isAutoRead();
        }
    }

    @Nested
    class Bodies {
        private final Connection first = new Connection();
        private final Connection second = new Connection();

        /** Guards against memory for all bodies that operators send at the same time. */
        @Test
        void waitUntilThoseBeforeAreAnswered() {
            first.call(LARGE);
            second.call(LARGE);
            assertThat(first.received).containsExactly(LARGE);
            assertThat(second.received).isEmpty();
            assertThat(second.isReading()).isFalse();
            first.reader.onAnswered();
            assertThat(second.received).containsExactly(LARGE);
            second.reader.onAnswered();
            assertThat(second.isReading()).isTrue();
        }

        /** Guards against small calls that wait behind large ones. */
        @Test
        void doNotWaitIfTheyAreSmall() {
            first.call(MAX_BODY_BYTES);
            second.call(SMALL);
            assertThat(second.received).containsExactly(SMALL);
        }

        /** Guards against calls that wait forever because a connection was closed. */
        @Test
        void leaveNothingTakenWhenTheirConnectionsAreClosed() {
            Connection third = new Connection();
            first.begin(LARGE);
            first.add(SMALL);
            second.call(LARGE);
            second.channel.close();
            third.call(LARGE);
            assertThat(third.received).isEmpty();
            first.channel.close();
            assertThat(third.received).containsExactly(LARGE);
        }

        /** Guards against an operator that stops in the middle of a body, behind which others wait. */
        @Test
        void areGivenUpAfterATime() {
            first.begin(LARGE);
            second.call(LARGE);
            first.channel.advanceTimeBy(60, TimeUnit.SECONDS);
            first.channel.runScheduledPendingTasks();
            assertThat(first.channel.isOpen()).isFalse();
            assertThat(second.received).containsExactly(LARGE);
        }
    }

    @Nested
    class BodiesThatAreTooLarge {
        private final Connection connection = new Connection();

        private void assertThatTheAnswerSaysSo() {
            FullHttpResponse answer = connection.channel.readOutbound();
            assertThat(answer.status().code()).isEqualTo(413);
            assertThat(answer.content().toString(StandardCharsets.UTF_8))
                    .contains("error")
                    .contains(Integer.toString(MAX_BODY_BYTES));
            answer.release();
            connection.call(MAX_BODY_BYTES);
            assertThat(connection.received).containsExactly(MAX_BODY_BYTES);
        }

        /** Guards against a connection that is closed in place of an answer. */
        @Test
        void areReadToTheirEndAndRefused() {
            connection.begin(MAX_BODY_BYTES + 1);
            connection.add(MAX_BODY_BYTES);
            assertThat(connection.channel.outboundMessages()).isEmpty();
            connection.end(1);
            assertThatTheAnswerSaysSo();
        }

        /** Guards against bodies whose size isn't stated. */
        @Test
        void areRefusedIfTheirSizeIsNotStated() {
            connection.beginChunked();
            connection.add(MAX_BODY_BYTES);
            connection.add(MAX_BODY_BYTES);
            connection.end(1);
            assertThatTheAnswerSaysSo();
        }
    }

    @Test
    void readsTheCallsOfAConnectionOneAfterTheOther() {
        Connection connection = new Connection();
        connection.call(SMALL);
        connection.call(SMALL + 1);
        assertThat(connection.received).containsExactly(SMALL);
        connection.reader.onAnswered();
        assertThat(connection.received).containsExactly(SMALL, SMALL + 1);
    }
}
