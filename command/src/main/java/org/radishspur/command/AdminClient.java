package org.radishspur.command;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import org.radishspur.model.codec.Json;
import org.radishspur.model.error.ErrorCode;
import org.radishspur.node.settings.SecretFile;
import picocli.CommandLine.Option;

/**
 * Calls the admin server of one node over HTTP; the node forwards calls that only the control leader can answer.
 */
public final class AdminClient {
    /** The maximum duration of one call. */
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;
    private static final int UNAUTHORISED = 401;

    @Option(names = "--admin", required = true, description = "The admin address of any node, such as 10.0.0.7:9000.")
    private String address;

    @Option(names = "--token-file", required = true, description = "The file with the administration token.")
    private Path tokenFile;

    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();

    /**
     * Sends a GET request to the node.
     *
     * @param path the path of the call.
     * @return the reply.
     * @throws CommandException if the node doesn't reply, is unavailable, refuses the token or doesn't serve the path.
     */
    Reply get(String path) {
        return send(request(path).GET());
    }

    /**
     * Sends a POST request to the node.
     *
     * @param path the path of the call.
     * @param body the JSON text to send.
     * @return the reply.
     * @throws CommandException if the node doesn't reply, is unavailable, refuses the token or doesn't serve the path.
     */
    Reply post(String path, String body) {
        return send(request(path).POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    /**
     * Sends a DELETE request to the node.
     *
     * @param path the path of the call.
     * @return the reply.
     * @throws CommandException if the node doesn't reply, is unavailable, refuses the token or doesn't serve the path.
     */
    Reply delete(String path) {
        return send(request(path).DELETE());
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + SecretFile.INSTANCE.read(tokenFile));
    }

    private Reply send(HttpRequest.Builder builder) {
        try {
            HttpResponse<String> response = client.send(builder.build(), HttpResponse.BodyHandlers.ofString());
            JsonNode body = Json.INSTANCE.readTree(response.body(), ErrorCode.CALL_INVALID);
            if (response.statusCode() == UNAVAILABLE && body.has("code")) {
                throw new CommandException(
                        ExitCode.UNREACHABLE, body.path("detail").asText());
            }
            if (response.statusCode() == UNAUTHORISED || response.statusCode() == NOT_FOUND) {
                throw new CommandException(ExitCode.FAILED, body.path("detail").asText());
            }
            return new Reply(response.statusCode(), body);
        } catch (IOException exception) {
            throw new CommandException(ExitCode.UNREACHABLE, "node at " + address + " did not answer: " + exception);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.UNREACHABLE, "interrupted");
        }
    }

    /**
     * Holds the reply of a node.
     *
     * @param status the HTTP status.
     * @param body the JSON body.
     */
    record Reply(int status, JsonNode body) {
        private static final int FIRST_STATUS_AFTER_SUCCESS = 300;

        boolean isSuccess() {
            return status < FIRST_STATUS_AFTER_SUCCESS;
        }
    }
}
