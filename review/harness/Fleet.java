import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Starts the programs of the deploy file as processes on loopback addresses, with the settings of a small deployment, and
 * sends signals to them by their process ids.
 */
final class Fleet implements AutoCloseable {
    static final String[] ZONES = {"tr-west-a", "tr-west-b", "tr-west-c"};

    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    final String network;
    final int controlPort;
    final int frontPort;
    final int readyPort;
    final int peerPort;
    final List<String> seeds = new ArrayList<>();
    final List<Program> controls = new ArrayList<>();
    final List<Program> entries = new ArrayList<>();
    final Map<String, String> commands = new HashMap<>();

    Fleet(String cloudAddress, String network, int controlCount, int entryCount) throws IOException {
        this.network = network;
        folder = Files.createTempDirectory("review-");
        readCommands();
        controlPort = freePort();
        frontPort = freePort();
        readyPort = freePort();
        peerPort = freePort();
        for (int number = 1; number <= controlCount; number++) {
            seeds.add(network + number + ":" + controlPort);
        }
        for (int number = 1; number <= controlCount; number++) {
            controls.add(new Program("control", "core-" + number, network + number, number - 1, cloudAddress));
        }
        for (int number = 1; number <= entryCount; number++) {
            entries.add(new Program("entry", "edge-" + number, network + (100 + number), number - 1, cloudAddress));
        }
    }

    /** Returns three numbers of a random part of the loopback range, with a dot at the end. */
    static String randomNetwork() {
        Random random = new Random();
        return "127." + (1 + random.nextInt(250)) + "." + random.nextInt(250) + ".";
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private void readCommands() throws IOException {
        String role = "";
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("[roles.")) {
                role = line.substring("[roles.".length(), line.indexOf(']'));
            } else if (line.startsWith("run = \"")) {
                commands.put(role, line.substring("run = \"".length(), line.lastIndexOf('"')));
            }
        }
    }

    void start() {
        controls.forEach(program -> program.start(true));
        entries.forEach(program -> program.start(true));
    }

    @Override
    public void close() {
        Stream.concat(controls.stream(), entries.stream()).forEach(Program::kill);
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException exception) {
            System.err.println("the temporary folder could not be removed: " + exception);
        }
    }

    /** One process of the system. */
    final class Program {
        final String role;
        final String name;
        final String ip;
        final List<String> settings = new ArrayList<>();
        private Process process;

        Program(String role, String name, String ip, int zone, String cloudAddress) throws IOException {
            this.role = role;
            this.name = name;
            this.ip = ip;
            boolean control = role.equals("control");
            settings.addAll(List.of(
                    "nodeName=" + name,
                    "role=" + role,
                    "machineClass=" + (control ? "core" : "edge"),
                    "serves=" + (control ? "control" : "edge"),
                    "ip=" + ip,
                    "zone=" + ZONES[zone % ZONES.length],
                    "region=tr-west",
                    "zones.tr-west-a=tr-west",
                    "zones.tr-west-b=tr-west",
                    "zones.tr-west-c=tr-west",
                    "internalPorts=" + peerPort + "," + peerPort,
                    "seeds=" + String.join(",", seeds),
                    "inTolerance=" + control,
                    "limits.cpuShare=" + (control ? "0.45" : "0.75"),
                    "limits.cpuCores=1",
                    "limits.memoryMb=" + (control ? "426" : "430"),
                    "limits.maxFds=4096",
                    "limits.linkMbps=1000.0",
                    "limits.diskMb=" + (control ? "128" : "0"),
                    "discovery=cloud",
                    "entry=vip",
                    "heartbeatMs=1200",
                    "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,rollout",
                    "faultTolerance.machines=1",
                    "faultTolerance.zones=0",
                    "faultTolerance.regions=0",
                    "bounds.seedLagS=3",
                    "bounds.reuseAfterS=2",
                    "bounds.stabilityWindowMs=3000",
                    "bounds.ackMs=4000",
                    "bounds.catchUpS=4",
                    "bounds.drainMs=3000",
                    "bounds.graceS=8",
                    "bounds.lossSlackMs=200",
                    "bounds.configApplyMs=2000",
                    "bounds.rollbackSlackMs=250",
                    "bounds.maxStretchMs=5000",
                    "bounds.strictRevoke=true",
                    "bounds.revokeMs=5000",
                    "bounds.retryBudgetRatio=0.2",
                    "bounds.retryWindowS=10",
                    "bounds.retrySlack=58",
                    "bounds.quotaWindowS=8",
                    "bounds.quotaOverage=0.1",
                    "bounds.quotaSlack=190000",
                    "bounds.exposeShare=0.1",
                    "bounds.exposureSlack=50",
                    "bounds.rollbackMs=5000",
                    "bounds.recoveryS=12",
                    "bounds.passMs=120",
                    "bounds.reuseWindowS=9.6",
                    "configMode=highest",
                    "cloud.address=" + cloudAddress,
                    "cloud.ratePerS=42.0",
                    "cloud.duties=",
                    "cloud.maxLagMs=800"));
            if (control) {
                settings.add("listen.control=" + ip + ":" + controlPort);
                settings.add("dataDir=" + Files.createDirectories(folder.resolve("data-" + name)));
            } else {
                settings.add("listen.front=" + ip + ":" + frontPort);
                settings.add("listen.ready=" + ip + ":" + readyPort);
            }
        }

        void start(boolean firstStart) {
            try {
                Path file = folder.resolve(name + ".conf");
                List<String> lines = new ArrayList<>(settings);
                lines.add("bootstrap=" + firstStart);
                Files.write(file, lines);
                ProcessBuilder builder = new ProcessBuilder(commands.get(role).split(" "));
                builder.directory(root.toFile());
                builder.environment().put("RADISHSPUR_CONFIG", file.toString());
                builder.redirectErrorStream(true);
                builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
                process = builder.start();
            } catch (IOException exception) {
                throw new UncheckedIOException(exception);
            }
        }

        Path log() {
            return folder.resolve(name + ".out");
        }

        String logText() {
            try {
                return Files.exists(log()) ? Files.readString(log()) : "";
            } catch (IOException exception) {
                return "";
            }
        }

        boolean isAlive() {
            return process != null && process.isAlive();
        }

        int exitCode() {
            return process.exitValue();
        }

        void kill() {
            if (process != null) {
                process.destroyForcibly();
                await();
            }
        }

        void terminate() {
            process.destroy();
        }

        void signal(String signal) {
            try {
                new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
            } catch (IOException | InterruptedException exception) {
                throw new IllegalStateException(exception);
            }
        }

        boolean await() {
            try {
                return process.waitFor(20, TimeUnit.SECONDS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
    }
}
