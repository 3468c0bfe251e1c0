package org.radishspur.decision.dispatch;

/**
 * Says which versions of a pool's upstreams may serve one request.
 */
public interface VersionRule {
    /**
     * Returns whether a version is allowed.
     *
     * @param version the version of an upstream.
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
     * Allows one version.
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
     * @param version the version that is left out.
     */
    record Except(String version) implements VersionRule {
        /** {@inheritDoc} */
        @Override
        public boolean allows(String other) {
            return !version.equals(other);
        }
    }
}
