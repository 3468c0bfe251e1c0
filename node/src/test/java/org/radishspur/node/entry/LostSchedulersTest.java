package org.radishspur.node.entry;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.radishspur.decision.crash.CrashLedger;
import org.radishspur.decision.dispatch.RequestTerms;
import org.radishspur.decision.slot.SchedulerChoice;
import org.radishspur.decision.slot.SlotOutcome;
import org.radishspur.decision.slot.SlotReply;
import org.radishspur.decision.slot.SlotReport;
import org.radishspur.decision.slot.SlotRequest;
import org.radishspur.model.catalogue.CallerLimits;
import org.radishspur.model.catalogue.Catalogue;
import org.radishspur.model.catalogue.PoolRule;
import org.radishspur.model.catalogue.Upstream;
import org.radishspur.node.fleet.ControlHost;
import org.radishspur.node.fleet.FleetMessage;
import org.radishspur.node.fleet.FleetSender;
import org.radishspur.node.fleet.HostList;
import org.radishspur.node.fleet.Moment;
import org.radishspur.node.log.EventLog;
import org.radishspur.node.schedule.ConfirmedView;
import org.radishspur.node.settings.HostPort;
import org.radishspur.node.settings.ProcessSettingsFixture;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that wait for lost schedulers: one entry with nine schedulers, in virtual time, gets a request
 * every 10 ms from 0 ms on. Nothing but the fake schedulers answers late.
 */
class LostSchedulersTest {
    private static final HostPort SELF = HostPort.parse("127.0.0.1:1");
    private static final int SCHEDULERS = 9;
    private static final int ENGINES = 20;
    private static final int ENTRIES = 20;

    /** The share of 4 of 80 slots, and two standard deviations. */
    private static final int MAX_LOCAL_SLOTS = 8;

    private static final long ARRIVAL_MILLIS = 10;
    private static final long HOLD_MILLIS = 30;
    private static final long CHECK_MILLIS = 50;
    private static final long MAX_LOST_WAIT_MILLIS = 250;

    private final EventLog events = new EventLog("entry", new PrintStream(OutputStream.nullOutputStream()));
    private final EntryMetrics metrics = new EntryMetrics();
    private final FakeFleet fleet = new FakeFleet();
    private final SlotClient client = new SlotClient(
            ProcessSettingsFixture.of("entry", SELF), fleet, events, metrics, new CrashLedger(), notes -> {});
    private final List<Request> requests = new ArrayList<>();
    private final PriorityQueue<Event> due = new PriorityQueue<>();
    private final List<Upstream> engines = new ArrayList<>();
    private final Map<String, FakeScheduler> schedulers = new TreeMap<>();
    private List<String> order;

    /** The client reads the real clock when a slot ends, so virtual time begins at it. */
    private final long start = EntryServices.now();

    private long now = start;
    private int eventCount;
    private int held;

    @BeforeEach
    void applyView() {
        for (int number = 0; number < ENGINES; number++) {
            engines.add(new Upstream("u" + number, 1, "pool", "10.0.0." + number + ":80", "a", "v1", 4, false, false));
        }
        List<ControlHost> hosts = new ArrayList<>();
        Map<String, String> domains = new HashMap<>();
        for (int number = 0; number < SCHEDULERS; number++) {
            String address = "127.0.1." + number + ":1";
            hosts.add(new ControlHost(address, number < 3 ? "a" : "b"));
            domains.put(address, number < 3 ? "a" : "b");
            schedulers.put(address, new FakeScheduler(address));
        }
        order = SchedulerChoice.sortByPreference(SELF.toString(), "a", domains);
        Catalogue catalogue = new Catalogue(
                1, List.of(), List.of(new PoolRule("pool", 10, 4, true)), List.of(), CallerLimits.DEFAULTS);
        client.onView(
                new ConfirmedView(
                        Optional.of(catalogue),
                        new HostList(1, 1, engines),
                        List.of(),
                        ENTRIES,
                        hosts,
                        Set.of(),
                        List.of(),
                        Set.of(),
                        Moment.now()),
                now);
    }

    @AfterEach
    void closeLog() {
        events.close();
    }

    /** Lets a time pass, with its requests, messages and checks. */
    private void runUntil(long millis) {
        for (; now < start + millis; now++) {
            while (!due.isEmpty() && due.peek().at() <= now) {
                due.poll().action().run();
            }
            if ((now - start) % ARRIVAL_MILLIS == 0) {
                requests.add(new Request(now));
                requests.get(requests.size() - 1).send();
            }
            if ((now - start) % CHECK_MILLIS == CHECK_MILLIS - 1) {
                client.checkPending(now);
            }
        }
    }

    private void after(long millis, Runnable action) {
        due.add(new Event(now + millis, eventCount++, action));
    }

    private FakeScheduler scheduler(int preference) {
        return schedulers.get(order.get(preference));
    }

    private long localGrants() {
        return metrics.registry().counter("slots.granted-locally").getCount();
    }

    private List<Request> arrivedBetween(long fromMillis, long toMillis) {
        return requests.stream()
                .filter(request -> request.arrivedAt >= start + fromMillis && request.arrivedAt < start + toMillis)
                .toList();
    }

    private void assertEachGrantedOnceWithin(long maxMillis) {
        assertThat(arrivedBetween(0, now - start - MAX_LOST_WAIT_MILLIS))
                .filteredOn(request -> request.grants != 1 || request.waitedMillis > maxMillis)
                .isEmpty();
    }

    private void assertServedAtOnceBetween(long fromMillis, long toMillis) {
        assertThat(arrivedBetween(fromMillis, toMillis))
                .filteredOn(request -> request.grants != 1 || request.waitedMillis > 5)
                .isEmpty();
    }

    @Test
    void servesAsBeforeWhereNoSchedulerIsLost() {
        runUntil(1_000);
        assertEachGrantedOnceWithin(5);
        assertThat(localGrants()).isZero();
        assertThat(fleet.pings).isZero();
    }

    @Test
    void twoThirdsOfTheSchedulersGoDarkAtOnce() {
        runUntil(1_000);
        for (int preference = 0; preference < 6; preference++) {
            scheduler(preference).darkUntil = Long.MAX_VALUE;
        }
        runUntil(5_000);
        assertEachGrantedOnceWithin(MAX_LOST_WAIT_MILLIS);
        assertServedAtOnceBetween(1_200, 4_700);
    }

    @Test
    void allSchedulersGoDarkAndComeBack() {
        runUntil(1_000);
        schedulers.values().forEach(scheduler -> scheduler.darkUntil = start + 3_250);
        runUntil(4_500);
        assertEachGrantedOnceWithin(MAX_LOST_WAIT_MILLIS);
        assertThat(localGrants()).isPositive();
        long granted = localGrants();
        runUntil(5_500);
        assertThat(localGrants()).isEqualTo(granted);
    }

    /** Guards against an entry that takes more than its share of the slots while no scheduler sees it. */
    @Test
    void allSchedulersGoDarkUnderMoreRequestsThanTheShareOfOneEntry() {
        runUntil(1_000);
        schedulers.values().forEach(scheduler -> scheduler.darkUntil = Long.MAX_VALUE);
        int maxHeld = 0;
        for (long millis = 1_001; millis < 3_000; millis++) {
            runUntil(millis);
            if (millis > 1_500 && millis % 2 == 0) {
                Request extra = new Request(now);
                extra.send();
            }
            maxHeld = Math.max(maxHeld, held);
        }
        assertThat(maxHeld).isEqualTo(MAX_LOCAL_SLOTS);
    }

    @Test
    void oneSchedulerIsFrozenForASecondAndWakes() {
        runUntil(1_000);
        scheduler(0).frozenUntil = start + 2_000;
        runUntil(4_000);
        assertEachGrantedOnceWithin(MAX_LOST_WAIT_MILLIS);
        assertThat(scheduler(0).openGrants()).isLessThanOrEqualTo(held + 1);
    }

    /** Guards against schedulers that are left because of their load, which moves the load to the others. */
    @Test
    void oneSchedulerAnswersSlowly() {
        scheduler(0).delayMillis = 60;
        runUntil(3_000);
        assertEachGrantedOnceWithin(70);
        assertThat(localGrants()).isZero();
        assertThat(scheduler(1).grantedIds).isEmpty();
    }

    /** Guards against a scheduler that is lost to many entries because all have attached to it at once. */
    @Test
    void theOneThatRemainsIsSlowAsManyEntriesAttachToIt() {
        runUntil(1_000);
        for (int preference = 0; preference < SCHEDULERS - 1; preference++) {
            scheduler(preference).darkUntil = Long.MAX_VALUE;
        }
        scheduler(SCHEDULERS - 1).delayMillis = 40;
        runUntil(4_000);
        assertEachGrantedOnceWithin(MAX_LOST_WAIT_MILLIS);
        assertThat(scheduler(SCHEDULERS - 1).grantedIds).hasSizeGreaterThan(200);
    }

    @Test
    void allSchedulersStartAnewWhileRequestsWait() {
        runUntil(1_000);
        schedulers.values().forEach(scheduler -> {
            scheduler.readyFrom = start + 2_500;
            scheduler.connections++;
            client.onLinkLost(scheduler.address, now);
        });
        runUntil(4_000);
        assertEachGrantedOnceWithin(MAX_LOST_WAIT_MILLIS);
        assertServedAtOnceBetween(3_000, 3_700);
        long granted = localGrants();
        runUntil(5_000);
        assertThat(localGrants()).isEqualTo(granted);
    }

    /** A request, which holds its slot for a time once it has one. */
    private final class Request implements UpstreamSlot.Listener {
        private final long arrivedAt;
        private long waitedMillis = Long.MAX_VALUE;
        private int grants;

        Request(long arrivedAt) {
            this.arrivedAt = arrivedAt;
        }

        void send() {
            SlotRequest.ExpectedLoad load = new SlotRequest.ExpectedLoad(100, 20, 0, 0, "", 0);
            SlotRequest request = new SlotRequest(
                    "pool",
                    "a",
                    "",
                    0,
                    0,
                    false,
                    true,
                    1_000,
                    400,
                    8_000,
                    load,
                    List.of(),
                    List.of(),
                    RequestTerms.NONE);
            client.send(client.request(request, this, now), now);
        }

        /** {@inheritDoc} */
        @Override
        public void onGranted(UpstreamSlot slot) {
            grants++;
            waitedMillis = now - arrivedAt;
            held++;
            after(HOLD_MILLIS, () -> {
                held--;
                slot.end(SlotOutcome.SUCCESS);
            });
        }

        /** {@inheritDoc} */
        @Override
        public void onRejected(SlotReply.Rejected rejected) {}

        /** {@inheritDoc} */
        @Override
        public String toString() {
            return "at " + (arrivedAt - start) + " waited " + waitedMillis + " granted " + grants;
        }
    }

    /** A scheduler that grants every request a slot at once, unless it is dark, frozen, slow or not ready. */
    private final class FakeScheduler {
        private final String address;
        private final List<Long> grantedIds = new ArrayList<>();
        private final List<Long> endedIds = new ArrayList<>();
        private long darkUntil;
        private long frozenUntil;
        private long readyFrom;
        private long delayMillis = 1;
        private long answeredAt = Long.MIN_VALUE;
        private int connections = 1;

        FakeScheduler(String address) {
            this.address = address;
        }

        /** Returns how many grants were neither used to an end nor released. */
        int openGrants() {
            List<Long> open = new ArrayList<>(grantedIds);
            open.removeAll(endedIds);
            return open.size();
        }

        void receive(FleetMessage message) {
            if (now < darkUntil) {
                return;
            }
            if (now < frozenUntil) {
                after(frozenUntil - now, () -> receive(message));
                return;
            }
            if (message instanceof FleetMessage.Ping) {
                after(delayMillis, () -> answeredAt = now);
            } else if (message instanceof FleetMessage.RequestSlot request) {
                SlotReply reply = now < readyFrom
                        ? new SlotReply.Rejected(SlotReply.Reason.UNREADY, 0)
                        : new SlotReply.Granted(engines.get((int) (request.id() % ENGINES)), true);
                if (reply instanceof SlotReply.Granted) {
                    grantedIds.add(request.id());
                }
                after(delayMillis, () -> {
                    answeredAt = now;
                    client.onReply(address, new FleetMessage.Reply(request.id(), reply, List.of()), now);
                });
            } else if (message instanceof FleetMessage.ReportSlot report
                    && report.report() instanceof SlotReport.Ended) {
                endedIds.add(report.id());
            }
        }
    }

    /** Delivers messages after a millisecond over connections that never show that a host is lost. */
    private final class FakeFleet implements FleetSender {
        private int pings;

        /** {@inheritDoc} */
        @Override
        public void send(String address, FleetMessage message) {
            pings += message instanceof FleetMessage.Ping ? 1 : 0;
            after(1, () -> schedulers.get(address).receive(message));
        }

        /** {@inheritDoc} */
        @Override
        public void send(Collection<String> addresses, FleetMessage message) {
            addresses.forEach(address -> send(address, message));
        }

        /** {@inheritDoc} */
        @Override
        public void setWatchedAddress(String address) {}

        /** {@inheritDoc} */
        @Override
        public int connectionCount(String address) {
            return schedulers.containsKey(address) ? schedulers.get(address).connections : 0;
        }

        /** {@inheritDoc} */
        @Override
        public long answeredAt(String address) {
            return schedulers.get(address).answeredAt;
        }
    }

    /**
     * Something that happens later.
     *
     * @param at when, on the virtual clock.
     * @param number its position among those of the same time.
     * @param action what happens.
     */
    private record Event(long at, int number, Runnable action) implements Comparable<Event> {
        /** {@inheritDoc} */
        @Override
        public int compareTo(Event other) {
            return at == other.at ? Integer.compare(number, other.number) : Long.compare(at, other.at);
        }
    }
}
