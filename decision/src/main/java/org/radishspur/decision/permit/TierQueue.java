package org.radishspur.decision.permit;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeSet;

/**
 * The queue of one tier. Shares the upstreams between organisations by start-time fair queueing (Goyal, Vin and Cheng
 * 1996) and orders the requests of one organisation by the earliest deadline.
 */
final class TierQueue {
    private final Map<String, Organisation> organisations = new HashMap<>();
    private final TreeSet<Organisation> byVirtualTime = new TreeSet<>(Organisation::compareVirtualTime);
    private final TreeSet<Organisation> byQueuedCost = new TreeSet<>(Organisation::compareQueuedCost);
    private double virtualClock;
    private QueuedWork queuedWork = QueuedWork.NONE;
    private int size;

    int size() {
        return size;
    }

    QueuedWork queuedWork() {
        return queuedWork;
    }

    void add(WaitingRequest waiting, double weight) {
        Organisation organisation = organisations.computeIfAbsent(waiting.request.organisation(), Organisation::new);
        removeFromOrders(organisation);
        if (organisation.requests.isEmpty()) {
            organisation.virtualTime = Math.max(organisation.virtualTime, virtualClock);
        }
        organisation.weight = weight;
        organisation.requests.add(waiting);
        organisation.queuedCost += waiting.cost;
        queuedWork = queuedWork.plus(QueuedWork.of(waiting.request.size()));
        size++;
        addToOrders(organisation);
    }

    void remove(WaitingRequest waiting) {
        Organisation organisation = organisations.get(waiting.request.organisation());
        removeFromOrders(organisation);
        if (organisation.requests.remove(waiting)) {
            organisation.queuedCost -= waiting.cost;
            queuedWork = queuedWork.minus(QueuedWork.of(waiting.request.size()));
            size--;
        }
        addToOrders(organisation);
    }

    /** Removes a request that is granted, and charges its estimated cost to its organisation. */
    void removeGranted(WaitingRequest waiting) {
        Organisation organisation = organisations.get(waiting.request.organisation());
        virtualClock = Math.max(virtualClock, organisation.virtualTime);
        remove(waiting);
        charge(organisation.name, waiting.cost);
    }

    /**
     * Charges a cost to an organisation. Once the actual cost of a request is known, the difference to its estimated
     * cost is charged, which may be negative.
     */
    void charge(String name, double cost) {
        Organisation organisation = organisations.get(name);
        if (organisation != null) {
            removeFromOrders(organisation);
            organisation.virtualTime += cost / organisation.weight;
            addToOrders(organisation);
        }
    }

    /** Removes the organisations that have no waiting request and whose virtual time the virtual clock has reached. */
    void removeIdleOrganisations() {
        organisations.values().removeIf(idle -> idle.requests.isEmpty() && idle.virtualTime <= virtualClock);
    }

    /** Returns the next request of each organisation, the organisation with the least virtual time first. */
    Iterator<WaitingRequest> heads() {
        Iterator<Organisation> order = byVirtualTime.iterator();
        return new Iterator<>() {
            @Override
            public boolean hasNext() {
                return order.hasNext();
            }

            @Override
            public WaitingRequest next() {
                return order.next().requests.first();
            }
        };
    }

    /**
     * Returns the request to shed next: the one with the latest deadline of the organisation with the most queued cost.
     */
    WaitingRequest nextToShed() {
        return byQueuedCost.last().requests.last();
    }

    private void removeFromOrders(Organisation organisation) {
        if (!organisation.requests.isEmpty()) {
            byVirtualTime.remove(organisation);
            byQueuedCost.remove(organisation);
        }
    }

    private void addToOrders(Organisation organisation) {
        if (!organisation.requests.isEmpty()) {
            byVirtualTime.add(organisation);
            byQueuedCost.add(organisation);
        }
    }

    /**
     * The waiting requests of one organisation.
     */
    private static final class Organisation {
        private final String name;
        private final TreeSet<WaitingRequest> requests = new TreeSet<>(WaitingRequest::compareDeadline);
        private double virtualTime;
        private double queuedCost;
        private double weight = 1;

        Organisation(String name) {
            this.name = name;
        }

        static int compareVirtualTime(Organisation left, Organisation right) {
            int order = Double.compare(left.virtualTime, right.virtualTime);
            return order != 0 ? order : left.name.compareTo(right.name);
        }

        static int compareQueuedCost(Organisation left, Organisation right) {
            int order = Double.compare(left.queuedCost, right.queuedCost);
            return order != 0 ? order : left.name.compareTo(right.name);
        }
    }
}
