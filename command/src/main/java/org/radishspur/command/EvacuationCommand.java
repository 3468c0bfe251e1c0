package org.radishspur.command;

import java.util.concurrent.Callable;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/**
 * Implements what the commands that evacuate and readmit a failure domain have in common.
 */
abstract class EvacuationCommand implements Callable<Integer> {
    @Mixin
    private AdminClient client;

    @Parameters(paramLabel = "DOMAIN", description = "The failure domain, as the rows of upstreams name it.")
    private String failureDomain;

    /** {@inheritDoc} */
    @Override
    public Integer call() {
        AdminClient.Reply reply = send(client, "/v1/domains/" + failureDomain + "/evacuation");
        System.out.println(reply.body());
        return reply.isSuccess() ? ExitCode.DONE.code() : ExitCode.FAILED.code();
    }

    abstract AdminClient.Reply send(AdminClient admin, String path);

    /**
     * Evacuates a failure domain: its upstreams get no more requests.
     */
    @Command(
            name = "evacuate",
            description = "Stops sending requests to the upstreams of a failure domain, until it is readmitted.",
            mixinStandardHelpOptions = true)
    static final class Evacuate extends EvacuationCommand {
        /** {@inheritDoc} */
        @Override
        AdminClient.Reply send(AdminClient admin, String path) {
            return admin.post(path, "");
        }
    }

    /**
     * Ends the evacuation of a failure domain.
     */
    @Command(
            name = "readmit",
            description = "Ends the evacuation of a failure domain.",
            mixinStandardHelpOptions = true)
    static final class Readmit extends EvacuationCommand {
        /** {@inheritDoc} */
        @Override
        AdminClient.Reply send(AdminClient admin, String path) {
            return admin.delete(path);
        }
    }
}
