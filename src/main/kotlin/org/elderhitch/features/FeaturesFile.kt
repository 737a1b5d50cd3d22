package org.elderhitch.features

import org.elderhitch.jobs.ClassRule
import org.elderhitch.jobs.ClassRules
import org.elderhitch.settings.BadScript
import org.elderhitch.settings.LuaScript
import org.elderhitch.settings.LuaSection
import java.io.File
import java.io.IOException

/** What is switched on beyond the core. */
public class Features(public val rules: ClassRules, public val factories: List<FeatureFactory>) {
    public companion object {
        public val NONE: Features = Features(ClassRules.NONE, emptyList())
    }
}

/** Reads a direction's section of the features file. Throws [BadScript] for what can't be. */
public fun interface SectionReader {
    public fun read(section: LuaSection, file: File): FeatureFactory
}

/**
 * The features file: a Lua script that returns a table with a section for each direction that is on, and `classes`.
 * Unlike the
 * policy it decides what users may rely on, so a mistake in it keeps the controller from starting.
 */
public object FeaturesFile {
    private const val CLASSES = "classes"
    private const val MOST_ATTEMPTS = 1000

    /** Named, not referred to: the classes of a direction that is off are never loaded. */
    private val directions = mapOf(
        "drmaa" to "org.elderhitch.drmaa.DrmaaSection",
        "sweeps" to "org.elderhitch.sweeps.SweepsSection",
    )

    /** Throws [BadScript] naming file, line and key. */
    public fun load(file: File): Features {
        val script = try {
            file.readText()
        } catch (e: IOException) {
            throw BadScript("$file can't be read: ${e.message}")
        }
        return parse(file, script)
    }

    public fun parse(file: File, script: String): Features {
        val table = LuaScript.table(file.name, script)
        table.allow(directions.keys + CLASSES)
        val rules = table.section(CLASSES)?.let(::rules) ?: ClassRules.NONE
        val factories = directions.filterKeys(table::has).map { (name, reader) ->
            val section = table.section(name) ?: table.bad(name, "must be a table")
            (Class.forName(reader).getDeclaredConstructor().newInstance() as SectionReader).read(section, file)
        }
        return Features(rules, factories)
    }

    private fun rules(classes: LuaSection): ClassRules = ClassRules(
        classes.keys.associateWith { name ->
            val rule = classes.section(name) ?: classes.bad(name, "must be a table")
            rule.allow(listOf("repeats", "attempts"))
            ClassRule(rule.flag("repeats") ?: true, rule.whole("attempts", 1, MOST_ATTEMPTS))
        },
    )
}
