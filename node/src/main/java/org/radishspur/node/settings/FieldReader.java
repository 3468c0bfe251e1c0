package org.radishspur.node.settings;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.radishspur.model.table.TableFault;

/**
 * Reads the fields of one JSON object. A fault is added to a list and a default returned, so that all faults are found
 * in one pass.
 */
final class FieldReader {
    /** An IP address of version 4, or of version 6 in brackets, and a port. */
    private static final Pattern ADDRESS = Pattern.compile("(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+]):\\d{1,5}");

    private static final int MAX_PORT = 65_535;

    private final JsonNode object;
    private final String path;
    private final List<TableFault> faults;
    private final Set<String> readNames = new HashSet<>();

    FieldReader(JsonNode object, String path, List<TableFault> faults) {
        this.object = object;
        this.path = path;
        this.faults = faults;
        if (!object.isObject() && !object.isMissingNode()) {
            faults.add(new TableFault(path.isEmpty() ? "." : path, "must be an object"));
        }
    }

    private JsonNode field(String name) {
        readNames.add(name);
        JsonNode value = object.path(name);
        return value.isNull() ? MissingNode.getInstance() : value;
    }

    private String pathOf(String name) {
        return path.isEmpty() ? name : path + '.' + name;
    }

    private void fault(String name, String problem) {
        faults.add(new TableFault(pathOf(name), problem));
    }

    String text(String name) {
        JsonNode value = field(name);
        if (!value.isTextual() || value.textValue().isBlank()) {
            fault(name, "must be a non-empty string");
            return "";
        }
        return value.textValue();
    }

    String optionalText(String name) {
        JsonNode value = field(name);
        if (!value.isMissingNode() && !value.isTextual()) {
            fault(name, "must be a string");
        }
        return value.asText("");
    }

    boolean flag(String name, boolean defaultValue) {
        JsonNode value = field(name);
        if (!value.isMissingNode() && !value.isBoolean()) {
            fault(name, "must be true or false");
        }
        return value.asBoolean(defaultValue);
    }

    long number(String name, long defaultValue, long minimum, long maximum) {
        JsonNode value = field(name);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.canConvertToLong() || value.longValue() < minimum || value.longValue() > maximum) {
            fault(name, "must be a whole number from " + minimum + " to " + maximum);
            return defaultValue;
        }
        return value.longValue();
    }

    double share(String name, double defaultValue) {
        JsonNode value = field(name);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isNumber() || value.doubleValue() < 0 || value.doubleValue() > 1) {
            fault(name, "must be a number from 0 to 1");
            return defaultValue;
        }
        return value.doubleValue();
    }

    HostPort address(String name) {
        JsonNode value = field(name);
        if (!ADDRESS.matcher(value.asText("")).matches()) {
            fault(name, "must be an IP address and a port, such as 10.0.0.7:8000");
            return new HostPort("127.0.0.1", 0);
        }
        HostPort address = HostPort.parse(value.textValue());
        if (address.port() > MAX_PORT) {
            fault(name, "must have a port from 0 to " + MAX_PORT);
        }
        return address;
    }

    FieldReader object(String name) {
        return new FieldReader(field(name), pathOf(name), faults);
    }

    List<FieldReader> objects(String name) {
        List<FieldReader> readers = new ArrayList<>();
        JsonNode value = field(name);
        if (!value.isMissingNode() && !value.isArray()) {
            fault(name, "must be a list");
            return readers;
        }
        for (int index = 0; index < value.size(); index++) {
            readers.add(new FieldReader(value.get(index), pathOf(name) + '[' + index + ']', faults));
        }
        return readers;
    }

    <E extends Enum<E>> Set<E> enumSet(String name, Class<E> type) {
        Set<E> chosen = java.util.EnumSet.noneOf(type);
        JsonNode value = field(name);
        for (JsonNode element : value) {
            java.util.Arrays.stream(type.getEnumConstants())
                    .filter(constant -> constant.name().equalsIgnoreCase(element.asText()))
                    .forEach(chosen::add);
        }
        if (!value.isArray() || chosen.isEmpty() || chosen.size() != value.size()) {
            fault(name, "must be a list of " + java.util.Arrays.toString(type.getEnumConstants()));
        }
        return chosen;
    }

    /** Adds a fault for each field that has not been read. */
    void rejectUnknownFields() {
        object.fieldNames().forEachRemaining(name -> {
            if (!readNames.contains(name)) {
                fault(name, "is not a known field");
            }
        });
    }
}
