package org.radishspur.node.metrics;

import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.Test;
import org.radishspur.node.settings.HostPort;

import static org.assertj.core.api.Assertions.assertThat;

class MetricsServerTest {
    @Test
    void servesCountersByReason() throws Exception {
        MetricRegistry registry = new MetricRegistry();
        registry.counter("requests.refused.overload").inc(3);
        int port;
        try (ServerSocket socket = new ServerSocket(0)) {
            port = socket.getLocalPort();
        }
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (MetricsServer server = new MetricsServer(new HostPort("127.0.0.1", port), group, registry)) {
            server.start(failure -> {});
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/metrics"))
                    .build();
            HttpResponse<String> response =
                    HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
            assertThat(response.body()).contains("radishspur_requests_refused_overload_total 3.0");
        } finally {
            group.shutdownGracefully();
        }
    }
}
