package org.radishspur.node.upstream;

import java.util.function.Consumer;

import io.netty.channel.Channel;
import org.radishspur.node.relay.RelayDialer;
import org.radishspur.node.relay.RelayMessage;

/**
 * Checks an upstream directly, and then through other hosts where it refuses connections: a host that is cut off must not
 * take upstreams for ended that only it can't reach.
 */
public final class RelayedProbe implements UpstreamProbe {
    private final UpstreamProbe direct;
    private final RelayDialer dialer;
    private final UpstreamPaths paths;

    /**
     * Creates a probe.
     *
     * @param direct checks an upstream directly.
     * @param dialer opens connections through other hosts.
     * @param paths names these hosts and receives what is found.
     */
    public RelayedProbe(UpstreamProbe direct, RelayDialer dialer, UpstreamPaths paths) {
        this.direct = direct;
        this.dialer = dialer;
        this.paths = paths;
    }

    /** {@inheritDoc} */
    @Override
    public void check(String address, Consumer<Result> listener) {
        direct.check(address, result -> {
            if (result != Result.REFUSED || paths.relays().isEmpty()) {
                listener.accept(result);
                return;
            }
            paths.recordConnectFailure(address);
            dialer.dial(paths.relays(), address, new RelayDialer.Listener() {
                @Override
                public void onOpened(Channel channel) {
                    channel.close();
                    listener.accept(Result.ACCEPTED);
                }

                @Override
                public void onFailed(RelayMessage.Result relayed) {
                    listener.accept(onRelayFailed(address, relayed));
                }
            });
        });
    }

    private Result onRelayFailed(String address, RelayMessage.Result relayed) {
        if (relayed == RelayMessage.Result.REFUSED) {
            paths.recordUpstreamDown(address);
            return Result.REFUSED;
        }
        return paths.isCutOff() ? Result.UNKNOWN : Result.REFUSED;
    }
}
