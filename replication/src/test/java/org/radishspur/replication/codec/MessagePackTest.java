package org.radishspur.replication.codec;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.radishspur.model.error.RadishspurException;
import org.radishspur.replication.raft.Configuration;
import org.radishspur.replication.raft.LogEntry;
import org.radishspur.replication.raft.RaftMessage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class MessagePackTest {
    /** An older version of a record. */
    record OlderRecord(long first, String second) {}

    /** A newer version of the same record. */
    record NewerRecord(long first, String second, Optional<String> third, List<Integer> fourth, boolean fifth) {}

    /** A record with components of many types. */
    record MixedRecord(
            int whole,
            double fraction,
            byte[] bytes,
            int[] numbers,
            Map<String, Set<Long>> sets,
            Optional<OlderRecord> inner) {}

    @Nested
    class RoundTrips {
        @Test
        void keepsComponentsOfEveryType() {
            MixedRecord written = new MixedRecord(
                    -7,
                    0.25,
                    new byte[] {1, 2},
                    new int[] {3, -4, 5},
                    Map.of("a", Set.of(1L, Long.MAX_VALUE)),
                    Optional.of(new OlderRecord(Long.MIN_VALUE, "ü")));
            MixedRecord read = MessagePack.INSTANCE.decode(MessagePack.INSTANCE.encode(written), MixedRecord.class);
            assertThat(read).usingRecursiveComparison().isEqualTo(written);
        }

        @Test
        void keepsTheSubtypeOfASealedType() {
            RaftMessage message = new RaftMessage.AppendRequest(
                    3,
                    2,
                    1,
                    List.of(
                            new LogEntry(3, 3, new LogEntry.Payload.Empty()),
                            new LogEntry(
                                    4,
                                    3,
                                    new LogEntry.Payload.ConfigurationChange(
                                            Configuration.ofVoters(Set.of("a", "b"))))),
                    2,
                    9);
            byte[] bytes = MessagePack.INSTANCE.encode(message, RaftMessage.class);
            assertThat(MessagePack.INSTANCE.decode(bytes, RaftMessage.class)).isEqualTo(message);
        }
    }

    @Nested
    class BetweenVersions {
        @Test
        void skipsComponentsThatANewerVersionHasAdded() {
            byte[] bytes =
                    MessagePack.INSTANCE.encode(new NewerRecord(1, "two", Optional.of("three"), List.of(4), true));
            assertThat(MessagePack.INSTANCE.decode(bytes, OlderRecord.class)).isEqualTo(new OlderRecord(1, "two"));
        }

        @Test
        void givesDefaultsToComponentsThatAnOlderVersionLacks() {
            byte[] bytes = MessagePack.INSTANCE.encode(new OlderRecord(1, "two"));
            assertThat(MessagePack.INSTANCE.decode(bytes, NewerRecord.class))
                    .isEqualTo(new NewerRecord(1, "two", Optional.empty(), null, false));
        }
    }

    @Nested
    class Malformed {
        @Test
        void reportsAnUnknownSubtypeIndex() {
            byte[] bytes = MessagePack.INSTANCE.encode(new OlderRecord(99, "none"));
            assertThatThrownBy(() -> MessagePack.INSTANCE.decode(bytes, RaftMessage.class))
                    .isInstanceOf(RadishspurException.class);
        }

        @Test
        void reportsTruncatedBytes() {
            byte[] bytes = java.util.Arrays.copyOf(MessagePack.INSTANCE.encode(new OlderRecord(1, "two")), 3);
            assertThatThrownBy(() -> MessagePack.INSTANCE.decode(bytes, OlderRecord.class))
                    .isInstanceOf(RadishspurException.class);
        }

        /** Guards against allocating memory for a false array length of two billion integers. */
        @Test
        void reportsAnArrayLengthBeyondTheEndOfTheBytes() {
            byte[] bytes = {(byte) 0x96, 0, (byte) 0xc0, (byte) 0xc0, (byte) 0xdd, 0x7f, -1, -1, -1, 1};
            assertThatThrownBy(() -> MessagePack.INSTANCE.decode(bytes, MixedRecord.class))
                    .isInstanceOf(RadishspurException.class);
        }
    }
}
