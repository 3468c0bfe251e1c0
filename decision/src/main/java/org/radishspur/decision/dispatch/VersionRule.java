package org.radishspur.decision.dispatch;

/**
 * Defines which versions of a pool's upstreams may serve one request.
 */
public interface VersionRule {
    /**
     * Returns whether an upstream of a version may serve the request.
     *
     * @param version the version of the upstream.
     * @return whether it may serve.
     */
    boolean allows(String version);

    /** Allows every version. */
    enum Any implements VersionRule {
        /** The only instance. */
        INSTANCE;

        /** {@inheritDoc} */
        @Override
        public boolean allows(String version) {
            return true;
        }
    }

    /**
     * Allows one version only.
     *
     * @param version the version.
     */
    record Only(String version) implements VersionRule {
        /** {@inheritDoc} */
        @Override
        public boolean allows(String other) {
            return version.equals(other);
        }
    }

    /**
     * Allows all versions but one.
     *
     * @param version the excluded version.
     */
    record Except(String version) implements VersionRule {
        /** {@inheritDoc} */
        @Override
        public boolean allows(String other) {
            return !version.equals(other);
        }
    }
}
