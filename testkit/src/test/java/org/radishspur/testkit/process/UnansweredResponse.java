package org.radishspur.testkit.process;

import javax.net.ssl.SSLSession;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpHeaders;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Map;
import java.util.Optional;

/**
 * Represents a call without a response: the status is 0 and the body is empty.
 */
final class UnansweredResponse implements HttpResponse<String> {
    @Override
    public int statusCode() {
        return 0;
    }

    @Override
    public HttpRequest request() {
        throw new UnsupportedOperationException();
    }

    @Override
    public Optional<HttpResponse<String>> previousResponse() {
        return Optional.empty();
    }

    @Override
    public HttpHeaders headers() {
        return HttpHeaders.of(Map.of(), (name, value) -> true);
    }

    @Override
    public String body() {
        return "";
    }

    @Override
    public Optional<SSLSession> sslSession() {
        return Optional.empty();
    }

    @Override
    public URI uri() {
        throw new UnsupportedOperationException();
    }

    @Override
    public HttpClient.Version version() {
        return HttpClient.Version.HTTP_1_1;
    }
}
