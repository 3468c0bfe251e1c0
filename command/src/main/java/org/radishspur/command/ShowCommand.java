package org.radishspur.command;

import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import org.radishspur.model.codec.Json;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Shows one aspect of the cluster.
 */
@Command(name = "show", description = "Shows one aspect of the cluster.", mixinStandardHelpOptions = true)
final class ShowCommand implements Callable<Integer> {
    @CommandLine.Mixin
    private AdminClient client;

    @Parameters(paramLabel = "ASPECT", description = "One of: ${COMPLETION-CANDIDATES}.")
    private Aspect aspect;

    @Option(names = "--json", description = "Print JSON.")
    private boolean json;

    /** {@inheritDoc} */
    @Override
    public Integer call() {
        AdminClient.Reply reply = client.get(aspect.path);
        if (!reply.isSuccess()) {
            System.err.println(reply.body());
            return ExitCode.FAILED.code();
        }
        JsonNode selected = aspect.select(reply.body());
        if (json) {
            System.out.println(Json.INSTANCE.writePretty(selected));
        } else {
            print(selected);
        }
        return ExitCode.DONE.code();
    }

    private static void print(JsonNode selected) {
        if (selected.isArray()) {
            selected.forEach(element -> System.out.println(line(element)));
            return;
        }
        Iterator<Map.Entry<String, JsonNode>> fields = selected.fields();
        while (fields.hasNext()) {
            Map.Entry<String, JsonNode> field = fields.next();
            System.out.println(field.getKey() + "  " + line(field.getValue()));
        }
    }

    private static String line(JsonNode element) {
        if (!element.isObject()) {
            return element.toString();
        }
        StringBuilder line = new StringBuilder();
        element.fields()
                .forEachRemaining(field -> line.append(field.getKey())
                        .append('=')
                        .append(
                                field.getValue().isTextual()
                                        ? field.getValue().textValue()
                                        : field.getValue().toString())
                        .append("  "));
        return line.toString().stripTrailing();
    }

    /**
     * Lists the aspects that can be shown.
     */
    enum Aspect {
        /** The state of the control replicas, of every node and of every move. */
        status("/v1/status") {
            @Override
            JsonNode select(JsonNode body) {
                return body;
            }
        },
        /** Every node, with the revision that is in force on it. */
        nodes("/v1/status") {
            @Override
            JsonNode select(JsonNode body) {
                return body.path("nodes");
            }
        },
        /** Every move of a route to another version, with its state. */
        moves("/v1/status") {
            @Override
            JsonNode select(JsonNode body) {
                return body.path("moves");
            }
        },
        /** The failure domains that are evacuated. */
        evacuated("/v1/status") {
            @Override
            JsonNode select(JsonNode body) {
                return body.path("evacuated");
            }
        },
        /** The routes in force on the node that is called. */
        routes("/v1/tables") {
            @Override
            JsonNode select(JsonNode body) {
                return body.path("routes");
            }
        },
        /** The pools in force on the node that is called. */
        pools("/v1/tables") {
            @Override
            JsonNode select(JsonNode body) {
                return body.path("pools");
            }
        },
        /**
         * The queues and upstreams of the pools as the node that is called has them; the owner of a queue has all of
         * it.
         */
        upstreams("/v1/pools") {
            @Override
            JsonNode select(JsonNode body) {
                return body;
            }
        },
        /** The number of refusals, retries and errors on the node that is called. */
        refusals("/metrics") {
            @Override
            JsonNode select(JsonNode body) {
                return body.path("counters");
            }
        };

        private final String path;

        Aspect(String path) {
            this.path = path;
        }

        abstract JsonNode select(JsonNode body);
    }
}
