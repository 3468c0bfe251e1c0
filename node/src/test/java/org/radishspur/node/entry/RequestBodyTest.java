package org.radishspur.node.entry;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RequestBodyTest {
    private static final int BUDGET = HeldBytes.REQUEST_BYTES + 1_000;

    private final HeldBytes held = new HeldBytes(BUDGET, true);
    private final RequestBody body =
            new RequestBody(held, new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/record"));

    /** Guards against bodies of unknown length that take memory before it is reserved, so that many exceed the budget. */
    @Test
    void reservesMemoryBeforeItGrows() {
        assertThat(body.tryReserve(1 << 20)).isTrue();
        assertThat(body.append(Unpooled.wrappedBuffer(new byte[900]))).isTrue();
        assertThat(body.append(Unpooled.wrappedBuffer(new byte[200]))).isFalse();
        assertThat(body.bytes().capacity()).isEqualTo(900);
        assertThat(held.total()).isLessThanOrEqualTo(BUDGET);
    }
}
