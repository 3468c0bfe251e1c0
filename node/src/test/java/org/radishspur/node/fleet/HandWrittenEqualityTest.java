package org.radishspur.node.fleet;

import java.lang.reflect.Constructor;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.radishspur.model.catalogue.ColdStart;
import org.radishspur.model.catalogue.Upstream;

import static org.assertj.core.api.Assertions.assertThat;

class HandWrittenEqualityTest {
    static Stream<Class<? extends Record>> recordsWithHandWrittenEquality() {
        return Stream.of(ControlHost.class, ColdStart.class, Upstream.class);
    }

    /** Guards against a changed host list that counts as equal to the old one because equals leaves a component out. */
    @ParameterizedTest
    @MethodSource("recordsWithHandWrittenEquality")
    void noComponentIsLeftOut(Class<? extends Record> type) throws ReflectiveOperationException {
        RecordComponent[] components = type.getRecordComponents();
        Class<?>[] types =
                Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
        Constructor<? extends Record> constructor = type.getDeclaredConstructor(types);
        Object[] values = Arrays.stream(types).map(each -> valueOf(each, 1)).toArray();
        Record first = constructor.newInstance(values);
        Record same = constructor.newInstance(values);
        assertThat(same).isEqualTo(first).hasSameHashCodeAs(first);
        for (int index = 0; index < values.length; index++) {
            Object[] changed = values.clone();
            changed[index] = valueOf(types[index], 2);
            assertThat(constructor.newInstance(changed))
                    .as(components[index].getName())
                    .isNotEqualTo(first);
        }
    }

    private static Object valueOf(Class<?> type, int number) {
        if (type == boolean.class) {
            return number == 1;
        } else if (type == int.class) {
            return number;
        } else if (type == long.class) {
            return (long) number;
        } else if (type == double.class) {
            return (double) number;
        }
        return String.valueOf(number);
    }
}
