package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * The project's programs as separate processes with the commands of the deploy file, each at a loopback address of its
 * own: three control hosts and some entries, with the settings of a small deployment.
 */
final class Deployment implements AutoCloseable {
    static final String[] ZONES = {"zone-a", "zone-b", "zone-c"};
    private static final int CONTROL_HOSTS = 3;

    private final Path repository;
    private final Path folder = Files.createTempDirectory("review2-");
    private final String network;
    private final int controlPort;
    private final int peerPort;
    private final int frontPort;
    private final int readyPort;
    private final int entryCount;
    private final Map<String, Process> processes = new ConcurrentSkipListMap<>();
    private String listAddress = "";

    Deployment(Path repository, int entryCount) throws IOException {
        this.repository = repository;
        this.entryCount = entryCount;
        long pid = ProcessHandle.current().pid();
        network = "127." + (20 + pid % 200) + '.' + (pid / 200 % 250) + '.';
        controlPort = freePort();
        peerPort = freePort();
        frontPort = freePort();
        readyPort = freePort();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.values().forEach(Process::destroyForcibly)));
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Returns an address for a stand-in. */
    String standInIp() {
        return network + 200;
    }

    String entry(int number) {
        return network + (100 + number) + ':' + frontPort;
    }

    String ready(int number) {
        return network + (100 + number) + ':' + readyPort;
    }

    String control(int number) {
        return network + (1 + number) + ':' + controlPort;
    }

    List<String> controls() {
        List<String> addresses = new ArrayList<>();
        for (int number = 0; number < CONTROL_HOSTS; number++) {
            addresses.add(control(number));
        }
        return addresses;
    }

    List<String> entries() {
        List<String> addresses = new ArrayList<>();
        for (int number = 0; number < entryCount; number++) {
            addresses.add(entry(number));
        }
        return addresses;
    }

    void start(String platformAddress, List<String> changedSettings) throws IOException {
        listAddress = platformAddress;
        for (int number = 0; number < CONTROL_HOSTS; number++) {
            String ip = network + (1 + number);
            Path data = Files.createDirectories(folder.resolve("data-" + number));
            launch("control", number, ip, List.of("listen.control=" + ip + ':' + controlPort, "dataDir=" + data,
                    "serves=control", "machineClass=core", "limits.memoryMb=426", "limits.diskMb=128"), changedSettings);
        }
        for (int number = 0; number < entryCount; number++) {
            String ip = network + (100 + number);
            launch("entry", number, ip, List.of("listen.front=" + ip + ':' + frontPort, "listen.ready=" + ip + ':' + readyPort,
                    "serves=edge", "machineClass=edge", "limits.memoryMb=430", "limits.diskMb=0"), changedSettings);
        }
    }

    private void launch(String role, int number, String ip, List<String> own, List<String> changed) throws IOException {
        List<String> lines = new ArrayList<>(List.of(
                "nodeName=" + role + '-' + number,
                "role=" + role,
                "ip=" + ip,
                "zone=" + ZONES[number % ZONES.length],
                "region=region-a",
                "internalPorts=" + peerPort + ',' + (peerPort + 15),
                "seeds=" + String.join(",", controls()),
                "bootstrap=true",
                "inTolerance=" + role.equals("control"),
                "limits.cpuShare=0.75", "limits.cpuCores=1", "limits.maxFds=4200", "limits.linkMbps=1000.0",
                "discovery=cloud", "entry=vip", "heartbeatMs=1200",
                "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,rollout",
                "faultTolerance.machines=1", "faultTolerance.zones=0", "faultTolerance.regions=0",
                "bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.stabilityWindowMs=3000", "bounds.ackMs=4000",
                "bounds.catchUpS=4", "bounds.drainMs=3000", "bounds.graceS=8", "bounds.lossSlackMs=200",
                "bounds.configApplyMs=2000", "bounds.rollbackSlackMs=250", "bounds.maxStretchMs=5000",
                "bounds.strictRevoke=true", "bounds.revokeMs=5000", "bounds.retryBudgetRatio=0.2",
                "bounds.retryWindowS=10", "bounds.retrySlack=54", "bounds.quotaWindowS=8", "bounds.quotaOverage=0.1",
                "bounds.quotaSlack=190000", "bounds.exposeShare=0.1", "bounds.exposureSlack=50",
                "bounds.rollbackMs=5000", "bounds.recoveryS=12", "bounds.passMs=120", "bounds.reuseWindowS=8.7",
                "configMode=highest",
                "cloud.address=" + listAddress, "cloud.ratePerS=42.0", "cloud.duties=", "cloud.maxLagMs=800"));
        for (String zone : ZONES) {
            lines.add("zones." + zone + "=region-a");
        }
        lines.addAll(own);
        lines.addAll(changed);
        String name = role + '-' + number;
        Files.write(folder.resolve(name + ".conf"), lines);
        startProcess(name);
    }

    /** Starts a process, or starts it again. */
    void startProcess(String name) throws IOException {
        String role = name.substring(0, name.indexOf('-'));
        ProcessBuilder builder = new ProcessBuilder(command(role)).directory(repository.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("RADISHSPUR_CONFIG", folder.resolve(name + ".conf").toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        processes.put(name, builder.start());
    }

    private List<String> command(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(repository.resolve("deploy/system.toml"))) {
            inRole = line.startsWith("[") ? line.equals("[roles." + role + ']') : inRole;
            if (inRole && line.startsWith("run = ")) {
                String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return List.of(text.split(" "));
            }
        }
        throw new IOException("the deploy file has no role " + role);
    }

    /** Changes a field in the settings files of all processes, and tells them by SIGHUP. */
    void changeSetting(String field, String value) throws IOException, InterruptedException {
        for (String name : processes.keySet()) {
            Path file = folder.resolve(name + ".conf");
            List<String> lines = new ArrayList<>(Files.readAllLines(file));
            lines.replaceAll(line -> line.startsWith(field + '=') ? field + '=' + value : line);
            Files.write(file, lines);
            signal(name, "HUP");
        }
    }

    /** Sends a signal to one process of the system. */
    void signal(String name, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(name).pid())).start().waitFor();
    }

    boolean isAlive(String name) {
        return processes.get(name).isAlive();
    }

    Process process(String name) {
        return processes.get(name);
    }

    List<String> processNames() {
        return List.copyOf(processes.keySet());
    }

    Path log(String name) {
        return folder.resolve(name + ".log");
    }

    /** Waits until all entries count as ready. */
    boolean awaitReady(long millis) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < until) {
            boolean all = true;
            for (int number = 0; number < entryCount; number++) {
                all &= isReady(number);
            }
            if (all) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    boolean isReady(int number) {
        try {
            return Http.send(ready(number), "GET", "/ready", Map.of(), new byte[0], 1_000).status() == 200;
        } catch (IOException exception) {
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        processes.values().forEach(Process::destroyForcibly);
        for (Process process : processes.values()) {
            try {
                process.waitFor();
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP_LOGS") != null) {
            System.err.println("logs in " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
