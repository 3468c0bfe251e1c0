package org.radishspur.node.peer;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;

/**
 * Makes and compares the signatures by which two nodes prove to each other that they hold the shared key, without
 * sending it.
 */
public final class PeerKey {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int NONCE_BYTES = 24;

    private final SecretKeySpec key;
    private final SecureRandom random = new SecureRandom();

    /**
     * Creates a key.
     *
     * @param secret the secret that all nodes of the cluster share.
     */
    public PeerKey(String secret) {
        key = new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM);
    }

    /**
     * Makes a random nonce for the other side to sign.
     *
     * @return the nonce.
     */
    public byte[] nonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        return nonce;
    }

    /**
     * Signs the identity of a connecting node together with the nonces of both sides.
     *
     * @param nonce the nonce of the accepting node.
     * @param cluster the cluster of the connecting node.
     * @param node the name of the connecting node.
     * @param incarnation the run of the connecting node's process.
     * @param connectingNonce the nonce of the connecting node.
     * @return the signature.
     */
    public byte[] signHello(byte[] nonce, String cluster, String node, long incarnation, byte[] connectingNonce) {
        return sign("hello\n" + cluster + '\n' + node + '\n' + incarnation + '\n', nonce, connectingNonce);
    }

    /**
     * Signs the nonce of a connecting node on behalf of the accepting one.
     *
     * @param nonce the nonce of the connecting node.
     * @return the signature.
     */
    public byte[] signWelcome(byte[] nonce) {
        return sign("welcome\n", nonce, new byte[0]);
    }

    /**
     * Compares two signatures in a time that doesn't depend on where they differ.
     *
     * @param expected the signature computed here.
     * @param received the signature received from the other side.
     * @return whether they are equal.
     */
    public boolean matches(byte[] expected, byte[] received) {
        return MessageDigest.isEqual(expected, received);
    }

    private byte[] sign(String text, byte[] first, byte[] second) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            mac.update(text.getBytes(StandardCharsets.UTF_8));
            mac.update(first);
            return mac.doFinal(second);
        } catch (GeneralSecurityException exception) {
            throw new IllegalStateException(exception);
        }
    }
}
