import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The platform's part in restarts: a process that has ended is started again after a short delay. */
final class Restarts implements AutoCloseable {
    private static final long DELAY_MILLIS = 500;

    private final Fleet fleet;
    private final Record record;
    private final Thread thread = new Thread(this::watch, "restarts");
    private volatile boolean closed;
    private volatile int ended;
    private final Map<String, Integer> endedByName = new ConcurrentHashMap<>();

    Restarts(Fleet fleet, Record record) {
        this.fleet = fleet;
        this.record = record;
        thread.setDaemon(true);
    }

    void begin() {
        thread.start();
    }

    /** Returns how many processes have ended by themselves so far. */
    int ended() {
        return ended;
    }

    /** Returns on how many control machines the process has ended by itself at least a number of times. */
    long controlMachinesWithEnds(int times) {
        return fleet.controls.stream()
                .filter(control -> endedByName.getOrDefault(control.name, 0) >= times)
                .count();
    }

    /** Kills all control processes at the same moment, and starts them again. */
    synchronized void killAll() {
        fleet.controls.forEach(control -> control.signal("KILL"));
        fleet.controls.forEach(Fleet.Program::await);
        Fleet.sleep(DELAY_MILLIS);
        fleet.controls.forEach(control -> control.start(false));
    }

    private void watch() {
        while (!closed) {
            check();
            Fleet.sleep(50);
        }
    }

    private synchronized void check() {
        for (Fleet.Program program : fleet.controls) {
            restart(program);
        }
        for (Fleet.Program program : fleet.entries) {
            restart(program);
        }
    }

    private void restart(Fleet.Program program) {
        if (!closed && !program.isAlive()) {
            ended++;
            endedByName.merge(program.name, 1, Integer::sum);
            record.add(program.name + " has ended by itself with exit code " + program.exitCode());
            Fleet.sleep(DELAY_MILLIS);
            program.start(false);
        }
    }

    @Override
    public synchronized void close() {
        closed = true;
    }
}
