package org.radishspur.replication.codec;

import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.Method;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.lang.reflect.TypeVariable;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Writes and reads the values of one type as MessagePack.
 *
 * <p>Formats are derived from the record classes by reflection; a record is written as an array of its components. The
 * order of a record's components, and of the subtypes that a sealed type permits, is part of the format. A general
 * object mapper isn't used, because setting it up takes a tenth of a second of processor time at each process start,
 * which prolongs the time without a leader when a small host restarts after a failure.
 */
interface Format {
    /** The size from which on a byte array isn't copied, in bytes; without a copy, the packer begins a new buffer of this size. */
    int MIN_UNCOPIED_BYTES = 8 << 10;

    /**
     * Writes a value.
     *
     * @param value the value, not null.
     * @param packer the packer to write to.
     * @throws IOException if the value can't be written.
     */
    void write(Object value, MessagePacker packer) throws IOException;

    /**
     * Reads a value that isn't nil.
     *
     * @param unpacker the unpacker to read from.
     * @return the value.
     * @throws IOException if the input doesn't hold a value of the type.
     */
    Object read(MessageUnpacker unpacker) throws IOException;

    /** Writes a value that may be null, which is written as nil. */
    static void writeNullable(Format format, Object value, MessagePacker packer) throws IOException {
        if (value == null) {
            packer.packNil();
        } else {
            format.write(value, packer);
        }
    }

    /** Reads a value that may be nil, which is read as null. */
    static Object readNullable(Format format, MessageUnpacker unpacker) throws IOException {
        return unpacker.tryUnpackNil() ? null : format.read(unpacker);
    }

    /**
     * Handles numbers, booleans, texts, byte arrays and integer arrays.
     */
    enum OfScalar implements Format {
        /** 64-bit integers. */
        LONG(long.class, Long.class) {
            @Override
            public void write(Object value, MessagePacker packer) throws IOException {
                packer.packLong((Long) value);
            }

            @Override
            public Object read(MessageUnpacker unpacker) throws IOException {
                return unpacker.unpackLong();
            }
        },
        /** 32-bit integers. */
        INTEGER(int.class, Integer.class) {
            @Override
            public void write(Object value, MessagePacker packer) throws IOException {
                packer.packInt((Integer) value);
            }

            @Override
            public Object read(MessageUnpacker unpacker) throws IOException {
                return unpacker.unpackInt();
            }
        },
        /** Floating-point numbers. */
        DOUBLE(double.class, Double.class) {
            @Override
            public void write(Object value, MessagePacker packer) throws IOException {
                packer.packDouble((Double) value);
            }

            @Override
            public Object read(MessageUnpacker unpacker) throws IOException {
                return unpacker.unpackDouble();
            }
        },
        /** Booleans. */
        BOOLEAN(boolean.class, Boolean.class) {
            @Override
            public void write(Object value, MessagePacker packer) throws IOException {
                packer.packBoolean((Boolean) value);
            }

            @Override
            public Object read(MessageUnpacker unpacker) throws IOException {
                return unpacker.unpackBoolean();
            }
        },
        /** Texts. */
        TEXT(String.class, String.class) {
            @Override
            public void write(Object value, MessagePacker packer) throws IOException {
                packer.packString((String) value);
            }

            @Override
            public Object read(MessageUnpacker unpacker) throws IOException {
                return unpacker.unpackString();
            }
        },
        /** Byte arrays. */
        BYTES(byte[].class, byte[].class) {
            @Override
            public void write(Object value, MessagePacker packer) throws IOException {
                byte[] bytes = (byte[]) value;
                packer.packBinaryHeader(bytes.length);
                if (bytes.length < MIN_UNCOPIED_BYTES) {
                    packer.writePayload(bytes);
                } else {
                    packer.addPayload(bytes);
                }
            }

            @Override
            public Object read(MessageUnpacker unpacker) throws IOException {
                return unpacker.readPayload(unpacker.unpackBinaryHeader());
            }
        },
        /** Arrays of 32-bit integers. */
        INTEGERS(int[].class, int[].class) {
            @Override
            public void write(Object value, MessagePacker packer) throws IOException {
                packer.packArrayHeader(((int[]) value).length);
                for (int number : (int[]) value) {
                    packer.packInt(number);
                }
            }

            @Override
            public Object read(MessageUnpacker unpacker) throws IOException {
                int[] numbers = new int[0];
                int length = unpacker.unpackArrayHeader();
                for (int index = 0; index < length; index++) {
                    // Grows with the numbers that are actually read, so that a false length can't exhaust the memory.
                    numbers =
                            index < numbers.length ? numbers : Arrays.copyOf(numbers, Math.min(length, 16 + 2 * index));
                    numbers[index] = unpacker.unpackInt();
                }
                return numbers;
            }
        };

        private final Class<?> type;
        private final Class<?> boxed;

        OfScalar(Class<?> type, Class<?> boxed) {
            this.type = type;
            this.boxed = boxed;
        }

        static Optional<Format> of(Type requestedType) {
            return Arrays.stream(values())
                    .filter(scalar -> scalar.type == requestedType || scalar.boxed == requestedType)
                    .map(Format.class::cast)
                    .findFirst();
        }
    }

    /**
     * Handles enums, as the names of their constants.
     */
    final class OfEnum implements Format {
        private final Map<String, Object> constants = new HashMap<>();

        OfEnum(Class<?> type) {
            for (Object constant : type.getEnumConstants()) {
                constants.put(((Enum<?>) constant).name(), constant);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void write(Object value, MessagePacker packer) throws IOException {
            packer.packString(((Enum<?>) value).name());
        }

        /** {@inheritDoc} */
        @Override
        public Object read(MessageUnpacker unpacker) throws IOException {
            String name = unpacker.unpackString();
            Object constant = constants.get(name);
            if (constant == null) {
                throw new IOException("unknown enum constant " + name);
            }
            return constant;
        }
    }

    /**
     * Handles optional values, as arrays of zero or one element.
     *
     * @param element the format of a value that is present.
     */
    record OfOptional(Format element) implements Format {
        /** {@inheritDoc} */
        @Override
        public void write(Object value, MessagePacker packer) throws IOException {
            Optional<?> optional = (Optional<?>) value;
            packer.packArrayHeader(optional.isPresent() ? 1 : 0);
            if (optional.isPresent()) {
                element.write(optional.get(), packer);
            }
        }

        /** {@inheritDoc} */
        @Override
        public Object read(MessageUnpacker unpacker) throws IOException {
            return unpacker.unpackArrayHeader() == 0 ? Optional.empty() : Optional.of(element.read(unpacker));
        }
    }

    /**
     * Handles lists and sets, as arrays.
     *
     * @param element the format of the elements.
     * @param distinct whether the collection is a set.
     */
    record OfCollection(Format element, boolean distinct) implements Format {
        /** {@inheritDoc} */
        @Override
        public void write(Object value, MessagePacker packer) throws IOException {
            Collection<?> elements = (Collection<?>) value;
            packer.packArrayHeader(elements.size());
            for (Object each : elements) {
                writeNullable(element, each, packer);
            }
        }

        /** {@inheritDoc} */
        @Override
        public Object read(MessageUnpacker unpacker) throws IOException {
            int length = unpacker.unpackArrayHeader();
            Collection<Object> elements = distinct ? new LinkedHashSet<>() : new ArrayList<>();
            for (int index = 0; index < length; index++) {
                elements.add(readNullable(element, unpacker));
            }
            return elements;
        }
    }

    /**
     * Handles maps.
     *
     * @param key the format of the keys.
     * @param element the format of the values.
     */
    record OfMap(Format key, Format element) implements Format {
        /** {@inheritDoc} */
        @Override
        public void write(Object value, MessagePacker packer) throws IOException {
            Map<?, ?> map = (Map<?, ?>) value;
            packer.packMapHeader(map.size());
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                key.write(entry.getKey(), packer);
                writeNullable(element, entry.getValue(), packer);
            }
        }

        /** {@inheritDoc} */
        @Override
        public Object read(MessageUnpacker unpacker) throws IOException {
            int length = unpacker.unpackMapHeader();
            Map<Object, Object> map = new LinkedHashMap<>();
            for (int index = 0; index < length; index++) {
                Object name = key.read(unpacker);
                map.put(name, readNullable(element, unpacker));
            }
            return map;
        }
    }

    /**
     * Handles records, as arrays of their components. On reading, components that a newer version has added are
     * skipped, and those that an older version doesn't have become empty, false, zero or null.
     */
    final class OfRecord implements Format {
        private final Constructor<?> constructor;
        private final Method[] accessors;
        private final Format[] componentFormats;
        private final Object[] defaultValues;

        OfRecord(Class<?> type, Function<Type, Format> formats) {
            RecordComponent[] declared = type.getRecordComponents();
            Class<?>[] types = new Class<?>[declared.length];
            accessors = new Method[declared.length];
            componentFormats = new Format[declared.length];
            defaultValues = new Object[declared.length];
            for (int index = 0; index < declared.length; index++) {
                types[index] = declared[index].getType();
                accessors[index] = declared[index].getAccessor();
                accessors[index].setAccessible(true);
                componentFormats[index] = formats.apply(declared[index].getGenericType());
                defaultValues[index] = defaultValue(types[index]);
            }
            try {
                constructor = type.getDeclaredConstructor(types);
                constructor.setAccessible(true);
            } catch (NoSuchMethodException exception) {
                throw new IllegalArgumentException("no canonical constructor in " + type, exception);
            }
        }

        /** Returns the value of a component of this type that is missing in the input. */
        private static Object defaultValue(Class<?> type) {
            if (type == boolean.class) {
                return false;
            } else if (type == int.class) {
                return 0;
            } else if (type == long.class) {
                return 0L;
            } else if (type == double.class) {
                return 0.0;
            }
            return type == Optional.class ? Optional.empty() : null;
        }

        /** {@inheritDoc} */
        @Override
        public void write(Object value, MessagePacker packer) throws IOException {
            packer.packArrayHeader(componentFormats.length);
            for (int index = 0; index < componentFormats.length; index++) {
                try {
                    writeNullable(componentFormats[index], accessors[index].invoke(value), packer);
                } catch (ReflectiveOperationException exception) {
                    throw new IOException("can't read a component of " + value.getClass(), exception);
                }
            }
        }

        /** {@inheritDoc} */
        @Override
        public Object read(MessageUnpacker unpacker) throws IOException {
            int length = unpacker.unpackArrayHeader();
            Object[] values = defaultValues.clone();
            for (int index = 0; index < length; index++) {
                if (index >= componentFormats.length) {
                    unpacker.skipValue();
                    continue;
                }
                Object value = readNullable(componentFormats[index], unpacker);
                values[index] = value == null ? defaultValues[index] : value;
            }
            try {
                return constructor.newInstance(values);
            } catch (ReflectiveOperationException exception) {
                throw new IOException("can't create a " + constructor.getDeclaringClass(), exception);
            }
        }
    }

    /**
     * Handles sealed types, as arrays of the index of the subtype among all permitted ones, and the value.
     */
    final class OfSealed implements Format {
        private final List<Class<?>> subtypes = new ArrayList<>();
        private final Function<Type, Format> formats;

        OfSealed(Class<?> type, Function<Type, Format> formats) {
            this.formats = formats;
            collect(type);
        }

        private void collect(Class<?> type) {
            for (Class<?> permitted : type.getPermittedSubclasses()) {
                if (permitted.isSealed()) {
                    collect(permitted);
                } else {
                    subtypes.add(permitted);
                }
            }
        }

        /** {@inheritDoc} */
        @Override
        public void write(Object value, MessagePacker packer) throws IOException {
            packer.packArrayHeader(2);
            packer.packInt(subtypes.indexOf(value.getClass()));
            formats.apply(value.getClass()).write(value, packer);
        }

        /** {@inheritDoc} */
        @Override
        public Object read(MessageUnpacker unpacker) throws IOException {
            int length = unpacker.unpackArrayHeader();
            int index = length == 2 ? unpacker.unpackInt() : -1;
            if (index < 0 || index >= subtypes.size()) {
                throw new IOException("unknown subtype index " + index);
            }
            return formats.apply(subtypes.get(index)).read(unpacker);
        }
    }

    /**
     * Creates the formats of types and caches them.
     */
    final class Factory {
        private final Map<Type, Format> cache = new java.util.concurrent.ConcurrentHashMap<>();

        /**
         * Returns the format of a type.
         *
         * @param type the type.
         * @return the format.
         */
        Format of(Type type) {
            Format known = cache.get(type);
            if (known == null) {
                known = create(type, Map.of());
                cache.put(type, known);
            }
            return known;
        }

        private Format create(Type type, Map<TypeVariable<?>, Type> variables) {
            if (type instanceof TypeVariable<?> variable) {
                return create(variables.get(variable), Map.of());
            }
            if (type instanceof ParameterizedType parameterized) {
                return createParameterized(parameterized, variables);
            }
            Optional<Format> scalar = OfScalar.of(type);
            if (scalar.isPresent()) {
                return scalar.get();
            }
            Class<?> plain = (Class<?>) type;
            if (plain.isEnum()) {
                return new OfEnum(plain);
            } else if (plain.isRecord()) {
                return new OfRecord(plain, this::of);
            } else if (plain.isSealed()) {
                return new OfSealed(plain, this::of);
            }
            throw new IllegalArgumentException("unsupported type: " + type);
        }

        private Format createParameterized(ParameterizedType type, Map<TypeVariable<?>, Type> variables) {
            Class<?> raw = (Class<?>) type.getRawType();
            Type[] arguments = type.getActualTypeArguments();
            if (raw == Optional.class) {
                return new OfOptional(create(arguments[0], variables));
            } else if (raw == Map.class) {
                return new OfMap(create(arguments[0], variables), create(arguments[1], variables));
            } else if (Collection.class.isAssignableFrom(raw)) {
                return new OfCollection(create(arguments[0], variables), raw == Set.class);
            } else if (raw.isRecord()) {
                Map<TypeVariable<?>, Type> bound = new HashMap<>();
                for (int index = 0; index < arguments.length; index++) {
                    bound.put(raw.getTypeParameters()[index], arguments[index]);
                }
                return new OfRecord(raw, component -> create(component, bound));
            }
            throw new IllegalArgumentException("unsupported type: " + type);
        }
    }
}
