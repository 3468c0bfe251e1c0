package org.radishspur.model.codec;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.error.RadishspurException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class JsonTest {
    private static JsonNode tree(String text) {
        return Json.INSTANCE.readTree(text, ErrorCode.TABLE_INVALID);
    }

    @Nested
    class ObjectsOfTexts {
        /** Guards against answers to operators that change their form with the way in which they are written. */
        @Test
        void areWrittenAsByTheMapper() {
            Map<String, String> fields = Map.of("state", "running", "target", "v\"2\\\u0007\u00e9\u2028", "empty", "");
            assertThat(Json.INSTANCE.writeTexts(fields)).isEqualTo(Json.INSTANCE.write(fields));
        }
    }

    @Nested
    class Trees {
        @Test
        void holdEveryKindOfValue() {
            JsonNode tree = tree("{\"text\":\"a\",\"list\":[1,2.5,true,null,{}],\"large\":12345678901,\"last\":false}");
            assertThat(tree.path("text").asText()).isEqualTo("a");
            assertThat(tree.path("list")).hasSize(5);
            assertThat(tree.path("list").get(0).isInt()).isTrue();
            assertThat(tree.path("list").get(1).asDouble()).isEqualTo(2.5);
            assertThat(tree.path("list").get(3).isNull()).isTrue();
            assertThat(tree.path("list").get(4).isObject()).isTrue();
            assertThat(tree.path("large").isIntegralNumber()).isTrue();
            assertThat(tree.path("large").asLong()).isEqualTo(12_345_678_901L);
            assertThat(tree.path("last").isBoolean()).isTrue();
        }

        @Test
        void holdIntegersOfMoreThanSixtyFourBits() {
            assertThat(tree("[123456789012345678901234567890]").get(0).isBigInteger())
                    .isTrue();
        }

        /** Guards against accepting a document that was truncated in transit as a complete, shorter one. */
        @Test
        void areNotReadFromATruncatedDocument() {
            String whole = "{\"version\":7,\"routes\":[{\"name\":\"r\"}]}";
            for (int length = 1; length < whole.length(); length++) {
                String truncated = whole.substring(0, length);
                assertThatThrownBy(() -> tree(truncated)).isInstanceOf(RadishspurException.class);
            }
        }

        @Test
        void areMissingNodesForAnEmptyText() {
            assertThat(tree("").isMissingNode()).isTrue();
        }
    }

    @Nested
    class NestedTexts {
        /** The stack of a control thread in bytes, as in the deploy file. */
        private static final long STACK_BYTES = 256 << 10;

        /** Guards against nested brackets that exhaust the stack of the control thread, which ends the process. */
        @ParameterizedTest
        @ValueSource(ints = {1, 500, 700, 1_000})
        void areReadOnASmallStackUpToTheMaximumDepth(int depth) throws InterruptedException {
            assertThat(resultOnASmallStack("[".repeat(depth) + "]".repeat(depth)))
                    .isInstanceOf(JsonNode.class);
            assertThat(resultOnASmallStack("{\"a\":".repeat(depth) + 1 + "}".repeat(depth)))
                    .isInstanceOf(JsonNode.class);
        }

        /** Guards against nested brackets that exhaust the stack of the control thread, which ends the process. */
        @ParameterizedTest
        @ValueSource(ints = {1_001, 5_000, 100_000, 6 << 20})
        void areRefusedOnASmallStackBeyondIt(int depth) throws InterruptedException {
            assertThat(resultOnASmallStack("[".repeat(depth))).isInstanceOf(RadishspurException.class);
            assertThat(resultOnASmallStack("{\"version\":20,\"x\":" + "[".repeat(depth)))
                    .isInstanceOf(RadishspurException.class);
            assertThat(resultOnASmallStack("[".repeat(depth) + "]".repeat(depth)))
                    .isInstanceOf(RadishspurException.class);
        }

        /** Returns the tree, or what was thrown instead. */
        private Object resultOnASmallStack(String text) throws InterruptedException {
            AtomicReference<Object> result = new AtomicReference<>();
            Thread reader = new Thread(
                    null,
                    () -> {
                        try {
                            result.set(tree(text));
                        } catch (RadishspurException | StackOverflowError failure) {
                            result.set(failure);
                        }
                    },
                    "reader",
                    STACK_BYTES);
            reader.start();
            reader.join();
            return result.get();
        }
    }

    @Nested
    class TextsBehindTheValue {
        /** Guards against documents that are accepted although only their beginning was read. */
        @ParameterizedTest
        @ValueSource(strings = {"x", "]", "}", "{}", "{\"version\":8}", ",", "0", "null", "\u0000", "\"", "//"})
        void areRefused(String more) {
            assertThatThrownBy(() -> tree("{\"version\":7}" + more)).isInstanceOf(RadishspurException.class);
            assertThatThrownBy(() -> tree("{\"version\":7}\n " + more)).isInstanceOf(RadishspurException.class);
            assertThatThrownBy(() -> Json.INSTANCE.read("{\"version\":7}" + more, Map.class, ErrorCode.TABLE_INVALID))
                    .isInstanceOf(RadishspurException.class);
        }

        @Test
        void mayBeSpace() {
            assertThat(tree(" {\"version\":7} \r\n\t").path("version").asInt()).isEqualTo(7);
        }

        /** Guards against logs of earlier versions that can't be read any more. */
        @ParameterizedTest
        @ValueSource(strings = {"", "x", "]", "{}", "{\"version\":8}"})
        void areIgnoredInDocumentsOfEarlierVersions(String more) {
            JsonNode tree = Json.INSTANCE.readObject(
                    "{\"version\":7}" + more,
                    JsonBounds.LEADING_VALUE,
                    ErrorCode.TABLE_INVALID,
                    Set.of("version"),
                    Map.of());
            assertThat(tree.path("version").asInt()).isEqualTo(7);
        }
    }

    @Nested
    class ObjectsWithLongLists {
        private static final JsonBounds BOUNDS = new JsonBounds(true, 10, 20);

        private final List<JsonNode> elements = new ArrayList<>();

        private JsonNode read(String text) {
            JsonListReader list = new JsonListReader() {
                @Override
                public void onBegin() {
                    elements.clear();
                }

                @Override
                public void onElement(JsonNode element) {
                    elements.add(element);
                }
            };
            return Json.INSTANCE.readObject(
                    text, BOUNDS, ErrorCode.TABLE_INVALID, Set.of("version"), Map.of("list", list));
        }

        @Test
        void passTheElementsOn() {
            JsonNode object = read("{\"version\":7,\"list\":[{\"a\":1},[2],3],\"other\":{\"list\":[4]}}");
            assertThat(elements).extracting(JsonNode::toString).containsExactly("{\"a\":1}", "[2]", "3");
            assertThat(object.toString()).isEqualTo("{\"version\":7,\"list\":[]}");
        }

        @Test
        void countOnceIfTheirFieldIsRepeated() {
            read("{\"list\":[1,2],\"list\":[3]}");
            assertThat(elements).extracting(JsonNode::asInt).containsExactly(3);
        }

        @Test
        void keepAFieldThatIsNoList() {
            assertThat(read("{\"list\":\"text\"}").path("list").isTextual()).isTrue();
        }

        /** Guards against documents of many short values, which take many times the memory of their text. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "{\"list\":[1,2,3,4,5,6,7,8,9,10,11]}",
                    "{\"list\":[{\"keys\":[1,2,3,4,5]},{\"keys\":[1,2,3,4,5]}]}",
                    "{\"version\":[[],[],[],[],[],[],[],[],[],[],[],[],[],[],[],[],[],[],[],[]]}",
                    "{\"list\":[[[[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]]]]}"
                })
        void areRefusedBeyondTheBounds(String text) {
            assertThatThrownBy(() -> read(text)).isInstanceOf(RadishspurException.class);
        }

        /** Guards against accepting a document that was truncated in transit as a complete, shorter one. */
        @Test
        void areNotReadFromATruncatedDocument() {
            String whole = "{\"version\":7,\"list\":[{\"name\":\"r\"}],\"other\":[{}]}";
            for (int length = 0; length < whole.length(); length++) {
                String truncated = whole.substring(0, length);
                assertThatThrownBy(() -> read(truncated)).isInstanceOf(RadishspurException.class);
            }
        }
    }

    @Test
    void writesMapsInTheOrderOfTheirKeys() {
        assertThat(Json.INSTANCE.write(java.util.Map.of("b", 1, "a", 2))).isEqualTo("{\"a\":2,\"b\":1}");
    }
}
