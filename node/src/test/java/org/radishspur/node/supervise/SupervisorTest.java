package org.radishspur.node.supervise;

import java.net.BindException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SupervisorTest {
    private static final int MANY = 100;

    private final Deque<Runnable> scheduledRestarts = new ArrayDeque<>();
    private final List<Throwable> reportedFailures = new ArrayList<>();
    private final Supervisor supervisor =
            new Supervisor("test", (action, delay) -> scheduledRestarts.add(action), () -> 0);
    private int starts;

    private void runScheduledRestarts(int times) {
        for (int count = 0; count < times && !scheduledRestarts.isEmpty(); count++) {
            scheduledRestarts.poll().run();
        }
    }

    /** Throws as Netty does, which passes on checked exceptions that no method declares. */
    @SuppressWarnings("unchecked")
    private static <E extends Throwable> void throwUndeclared(Throwable cause) throws E {
        throw (E) cause;
    }

    /** Fails at its first starts. */
    private final class ServerWithTakenAddress implements Child {
        private final int failures;

        ServerWithTakenAddress(int failures) {
            this.failures = failures;
        }

        @Override
        public void start(FailureListener listener) {
            starts++;
            if (starts <= failures) {
                SupervisorTest.<RuntimeException>throwUndeclared(new BindException("Address already in use"));
            }
        }

        @Override
        public void close() {}
    }

    @Nested
    class WhenTheAddressIsInUse {
        /** Guards against a process that ends because an address was taken for a moment. */
        @Test
        void startsTheServerOnceTheAddressIsFree() {
            supervisor.supervise("server", () -> new ServerWithTakenAddress(3)).start(reportedFailures::add);
            runScheduledRestarts(MANY);
            assertThat(starts).isEqualTo(4);
            assertThat(reportedFailures).isEmpty();
        }

        /** Guards against a server that is never started again, and nobody knows. */
        @Test
        void reportsAServerThatNeverStartsToTheParent() {
            supervisor
                    .supervise("server", () -> new ServerWithTakenAddress(MANY))
                    .start(reportedFailures::add);
            runScheduledRestarts(MANY);
            assertThat(reportedFailures).hasSize(1).first().isInstanceOf(BindException.class);
        }
    }
}
