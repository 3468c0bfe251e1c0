package org.radishspur.node.schedule;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import org.radishspur.decision.dispatch.QuotaLedger;
import org.radishspur.decision.dispatch.UpstreamLoad;
import org.radishspur.decision.slot.SlotReply;
import org.radishspur.decision.slot.SlotScheduler;
import org.radishspur.node.control.ControlLoop;
import org.radishspur.node.dialect.OperatorDialect;
import org.radishspur.node.fleet.ControlHost;
import org.radishspur.node.fleet.FleetInbox;
import org.radishspur.node.fleet.FleetLinks;
import org.radishspur.node.fleet.FleetMessage;
import org.radishspur.node.fleet.Moment;
import org.radishspur.node.log.EventCode;
import org.radishspur.node.log.EventLog;
import org.radishspur.node.settings.FleetSettings;
import org.radishspur.node.settings.HostPort;
import org.radishspur.node.supervise.Child;

/**
 * Runs the scheduler of a control host on its transport thread: serves the entries that are attached, follows the control
 * leader as entries do, and shares its load with the other schedulers.
 */
public final class SchedulerHost implements FleetInbox, AutoCloseable {
    /** How often waiting requests are looked after, in milliseconds. */
    private static final long LOOK_MILLIS = 50;

    /**
     * An entry that has sent nothing for so long is taken for lost, in milliseconds; its links ping more often. Guards against
     * slots that stay taken for a frozen host, and against grants that nobody uses.
     */
    private static final long ENTRY_LOST_MILLIS = 1_200;

    /** How long after its confirmation a view may be acted on, as a part of the time until a revoked key must not work. */
    private static final double CONFIRMED_SHARE = 0.8;

    private final FleetSettings settings;
    /** Reads catalogues aside from the replica's thread: a large one takes longer than an election timeout. */
    private final ControlLoop following = new ControlLoop();

    private final EventLoop traffic;
    private final EventLog events;
    private final MetricRegistry metrics;
    private final FleetLinks links;
    private final ControlFollower follower;
    private final PoolSet pools;
    private final QuotaLedger quotas;
    private final SlotScheduler slots;
    private final LoadSharing sharing;
    private final String self;
    private final Map<String, Sender> entries = new HashMap<>();
    private final Map<String, String> connections = new HashMap<>();
    private final EvacuationLog evacuations;
    private ConfirmedView view = ConfirmedView.NOTHING;

    /**
     * Starts a scheduler.
     *
     * @param settings the settings of the process.
     * @param failure learns that the scheduler's state is in doubt.
     * @param traffic the transport thread, which owns the scheduler.
     * @param operators reads catalogues.
     * @param events takes structured events.
     * @param metrics takes the counters.
     */
    public SchedulerHost(
            FleetSettings settings,
            Child.FailureListener failure,
            EventLoop traffic,
            OperatorDialect operators,
            EventLog events,
            MetricRegistry metrics) {
        this.settings = settings;
        following.onFailure(failure);
        this.traffic = traffic;
        this.events = events;
        this.metrics = metrics;
        self = settings.peerAddress().toString();
        links = new FleetLinks(traffic, this);
        pools = new PoolSet(self, settings.failureDomain(), settings.bounds().greatestTrialShare());
        quotas = new QuotaLedger(settings.bounds().quota());
        slots = new SlotScheduler(pools, quotas, new Replies());
        evacuations = new EvacuationLog(pools, events);
        sharing = new LoadSharing(links, pools, quotas, self + '/' + System.currentTimeMillis());
        follower = new ControlFollower(
                following, links, operators, events, "", List::of, newer -> traffic.execute(() -> onView(newer)));
        metrics.register("scheduler.entries", (Gauge<Integer>) slots::entries);
        metrics.register("scheduler.waiting", (Gauge<Integer>) slots::waiting);
        seeds(settings.seeds());
        traffic.scheduleAtFixedRate(
                () -> sharing.share(now()),
                LoadSharing.SHORTEST_ROUND_MILLIS,
                LoadSharing.SHORTEST_ROUND_MILLIS,
                TimeUnit.MILLISECONDS);
        traffic.scheduleAtFixedRate(this::look, LOOK_MILLIS, LOOK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns whether a message is for the scheduler.
     *
     * @param message a message that has come to this host.
     * @return whether the scheduler takes it.
     */
    public static boolean concerns(FleetMessage message) {
        return message instanceof FleetMessage.Ask
                || message instanceof FleetMessage.Report
                || message instanceof FleetMessage.Load
                || message instanceof FleetMessage.Attach
                || message instanceof FleetMessage.Detach;
    }

    /**
     * Sets the control hosts that are asked first.
     *
     * @param seeds some control hosts, perhaps stale.
     */
    public void seeds(List<HostPort> seeds) {
        Set<String> addresses = new TreeSet<>();
        seeds.forEach(host -> addresses.add(host.toString()));
        following.execute(() -> follower.seeds(addresses));
    }

    /** {@inheritDoc} */
    @Override
    public void onMessage(Sender sender, FleetMessage message) {
        if (message instanceof FleetMessage.Followed answer) {
            following.execute(() -> follower.onFollowed(answer));
        } else if (message instanceof FleetMessage.Document document) {
            following.execute(() -> follower.onDocument(document));
        } else if (message instanceof FleetMessage.Ask ask) {
            onAsk(sender, ask);
        } else if (message instanceof FleetMessage.Report report) {
            slots.report(sender.peer(), report.id(), report.report(), now());
        } else if (message instanceof FleetMessage.Load load) {
            if (sharing.onLoad(load, view.organisations(), now())) {
                slots.advance(now());
            }
        } else if (message instanceof FleetMessage.Attach attach) {
            onAttach(sender, attach);
        } else if (message instanceof FleetMessage.Detach) {
            detach(sender);
        }
    }

    private void onAsk(Sender sender, FleetMessage.Ask ask) {
        double confirmedMillis = settings.bounds().revokeMillis() * CONFIRMED_SHARE;
        if (!entries.containsKey(sender.peer()) || !view.isConfirmedWithin(confirmedMillis)) {
            reply(sender, ask.id(), new SlotReply.Rejected(SlotReply.Reason.UNREADY, 0));
            return;
        }
        slots.request(sender.peer(), ask.id(), ask.request(), now());
    }

    private void onAttach(Sender sender, FleetMessage.Attach attach) {
        String before = connections.put(attach.entry(), sender.peer());
        if (before != null && !before.equals(sender.peer()) && entries.remove(before) != null) {
            slots.detach(before, now());
        }
        entries.put(sender.peer(), sender);
        slots.attach(sender.peer(), attach.held(), now());
    }

    /** {@inheritDoc} */
    @Override
    public void onClosed(Sender sender) {
        detach(sender);
    }

    private void detach(Sender sender) {
        if (entries.remove(sender.peer()) != null) {
            slots.detach(sender.peer(), now());
        }
    }

    private void onView(ConfirmedView newer) {
        boolean same = view.saysTheSame(newer);
        view = newer;
        if (!same) {
            List<String> others = newer.controls().stream()
                    .map(ControlHost::address)
                    .filter(address -> !address.equals(self))
                    .toList();
            pools.apply(newer, others.size() + 1, now());
            sharing.refresh(others);
            evacuations.onView(newer.evacuated());
            slots.advance(now());
        }
    }

    private void look() {
        List.copyOf(entries.values()).stream()
                .filter(entry -> entry.silentMillis() > ENTRY_LOST_MILLIS)
                .forEach(this::detach);
        slots.advance(now());
        evacuations.look();
    }

    private static long now() {
        return Moment.steadyNow();
    }

    private void reply(Sender sender, long id, SlotReply reply) {
        metrics.counter("scheduler.replies." + nameOf(reply)).inc();
        sender.send(new FleetMessage.Reply(id, reply));
    }

    private static String nameOf(SlotReply reply) {
        return reply instanceof SlotReply.Rejected rejected
                ? "rejected." + rejected.reason()
                : reply.getClass().getSimpleName();
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        following.close();
        links.close();
    }

    /** Sends replies to entries, and passes on what was learnt. */
    private final class Replies implements SlotScheduler.Listener {
        /** {@inheritDoc} */
        @Override
        public void onReply(String entry, long id, SlotReply reply) {
            Sender sender = entries.get(entry);
            if (sender != null) {
                reply(sender, id, reply);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onAnswer(UpstreamLoad upstream, boolean good) {
            sharing.onAnswer(upstream, good);
        }

        /** {@inheritDoc} */
        @Override
        public void onEjected(UpstreamLoad upstream, String cause) {
            events.emit(EventCode.EJECTED, upstream.upstream().id(), cause);
        }
    }
}
