package org.radishspur.decision;

import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

class ArchitectureTest {
    /** Guards against decisions that a test or an experiment can't run with a simulated clock. */
    @Test
    void decisionsUseNoClockNetworkOrFile() {
        var classes = new ClassFileImporter()
                .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                .importPackages("org.radishspur.decision");
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.netty..", "java.net..", "java.nio.file..", "java.io..", "java.time..")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(classes);
    }
}
