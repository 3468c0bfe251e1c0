package org.radishspur.testkit.measure;

import picocli.CommandLine.Command;

/**
 * Groups the subcommands that measure time, memory and message sizes.
 */
@Command(
        name = "measure",
        mixinStandardHelpOptions = true,
        subcommands = {
            MeasureDecisions.class,
            MeasureLog.class,
            MeasureFrames.class,
            MeasureEdits.class,
            MeasureState.class
        })
public final class MeasureCommand {}
