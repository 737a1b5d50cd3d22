package org.elderhitch.sweeps

import org.elderhitch.features.FeatureFactory
import org.elderhitch.features.SectionReader
import org.elderhitch.settings.LuaSection
import java.io.File

/** What the operators set for sweeps. */
public class SweepsSettings(
    /** Sweeps with open points, at a time. */
    public val mostOpen: Int = 50,
    /** Points that the leader's table holds at a time, of all sweeps together. */
    public val tablePoints: Int = 2000,
    /**
     * Points of one sweep that wait for room at a time: a round looks at no more of them, and no more is rented for.
     */
    public val waitingPoints: Int = 64,
)

/** The section `sweeps` of the features file. */
public class SweepsSection : SectionReader {
    override fun read(section: LuaSection, file: File): FeatureFactory {
        section.requireKnownKeys(listOf("most_open", "table_points", "waiting_points"))
        val defaults = SweepsSettings()
        val settings = SweepsSettings(
            section.intOrNull("most_open", 1, MOST_OPEN) ?: defaults.mostOpen,
            section.intOrNull("table_points", 1, MOST_TABLE) ?: defaults.tablePoints,
            section.intOrNull("waiting_points", 1, MOST_WAITING) ?: defaults.waitingPoints,
        )
        return FeatureFactory { Sweeps(settings, it) }
    }

    private companion object {
        const val MOST_OPEN = 1000
        const val MOST_TABLE = 20_000
        const val MOST_WAITING = 1000
    }
}
