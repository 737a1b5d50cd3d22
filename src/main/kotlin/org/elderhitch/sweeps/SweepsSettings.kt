package org.elderhitch.sweeps

import org.elderhitch.features.FeatureFactory
import org.elderhitch.features.SectionReader
import org.elderhitch.settings.LuaSection
import java.io.File

/** The operator's settings for sweeps. */
public class SweepsSettings(
    /** The maximum number of sweeps with open points. */
    public val maxOpenSweeps: Int = 50,
    /** The maximum number of points in the leader's job table, of all sweeps together. */
    public val tablePoints: Int = 2000,
    /**
     * The maximum number of points of one sweep that wait for capacity. A scheduling cycle considers no more of them,
     * and machines are provisioned for no more.
     */
    public val waitingPoints: Int = 64,
)

/** Reads the section `sweeps` of the features file. */
public class SweepsSection : SectionReader {
    override fun read(section: LuaSection, file: File): FeatureFactory {
        section.requireKnownKeys(listOf("most_open", "table_points", "waiting_points"))
        val defaults = SweepsSettings()
        val settings = SweepsSettings(
            section.intOrNull("most_open", 1, MAX_OPEN_SWEEPS) ?: defaults.maxOpenSweeps,
            section.intOrNull("table_points", 1, MAX_TABLE_POINTS) ?: defaults.tablePoints,
            section.intOrNull("waiting_points", 1, MAX_WAITING_POINTS) ?: defaults.waitingPoints,
        )
        return FeatureFactory { Sweeps(settings, it) }
    }

    private companion object {
        const val MAX_OPEN_SWEEPS = 1000
        const val MAX_TABLE_POINTS = 20_000
        const val MAX_WAITING_POINTS = 1000
    }
}
