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

    /** Throws a checked exception that no method declares, as Netty does. */
    @SuppressWarnings("unchecked")
    private static <E extends Throwable> void throwUndeclared(Throwable cause) throws E {
        throw (E) cause;
    }

    /** A server whose first starts fail because its address is in use. */
    private final class ServerWithAddressInUse implements Child {
        private final int failures;

        ServerWithAddressInUse(int failures) {
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
        /** Guards against a process that ends because an address was in use for a short time. */
        @Test
        void startsTheServerOnceTheAddressIsFree() {
            supervisor.supervise("server", () -> new ServerWithAddressInUse(3)).start(reportedFailures::add);
            runScheduledRestarts(MANY);
            assertThat(starts).isEqualTo(4);
            assertThat(reportedFailures).isEmpty();
        }

        /** Guards against a server that stays down without its failure being reported. */
        @Test
        void reportsAServerThatNeverStartsToTheParent() {
            supervisor
                    .supervise("server", () -> new ServerWithAddressInUse(MANY))
                    .start(reportedFailures::add);
            runScheduledRestarts(MANY);
            assertThat(reportedFailures).hasSize(1).first().isInstanceOf(BindException.class);
        }
    }
}
