package org.radishspur.node.entry;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.radishspur.model.codec.Json;
import org.radishspur.model.error.ErrorCode;

import static org.assertj.core.api.Assertions.assertThat;

class ErrorResponsesTest {
    @Nested
    class Body {
        /**
         * Guards against an error response that callers can't parse, or that is wrong about whether the request ran.
         */
        @ParameterizedTest
        @EnumSource
        void statesTheReasonAndWhetherTheRequestRan(EndReason reason) {
            String body = ErrorResponses.of(reason, 0).content().toString(StandardCharsets.UTF_8);
            JsonNode problem = Json.INSTANCE.readTree(body, ErrorCode.CALL_INVALID);
            assertThat(problem.path("reason").asText()).isEqualTo(reason.code());
            assertThat(problem.path("notRun").asBoolean()).isEqualTo(reason.isNotRun());
        }
    }

    @Nested
    class RetryAfter {
        @ParameterizedTest
        @CsvSource({"1, 0.001", "50, 0.050", "1179, 1.179", "60000, 60.000"})
        void isSentInDecimalSeconds(long millis, String seconds) {
            FullHttpResponse response = ErrorResponses.of(EndReason.OVERLOAD, millis);
            assertThat(response.headers().get(HttpHeaderNames.RETRY_AFTER)).isEqualTo(seconds);
        }

        @Test
        void isOmittedWhenARetryCannotSucceed() {
            assertThat(ErrorResponses.of(EndReason.KEY_UNKNOWN, 0).headers().contains(HttpHeaderNames.RETRY_AFTER))
                    .isFalse();
        }
    }
}
