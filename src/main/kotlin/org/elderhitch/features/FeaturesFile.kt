package org.elderhitch.features

import org.elderhitch.jobs.ClassRule
import org.elderhitch.jobs.ClassRules
import org.elderhitch.settings.LuaScript
import org.elderhitch.settings.LuaSection
import org.elderhitch.settings.ScriptException
import java.io.File
import java.io.IOException

/** The content of a features file: the rules of job classes, and the factories of the enabled features. */
public class Features(public val rules: ClassRules, public val factories: List<FeatureFactory>) {
    public companion object {
        /** The value without a features file: no rules and no features. */
        public val NONE: Features = Features(ClassRules.NONE, emptyList())
    }
}

/** Reads the section of one feature in the features file. */
public fun interface SectionReader {
    /** Throws [ScriptException] if the section is invalid. */
    public fun read(section: LuaSection, file: File): FeatureFactory
}

/**
 * Parses the features file, a Lua script that returns a table with a section for each enabled feature, and `classes`
 * with the rules of job classes.
 *
 * Users depend on features, so an error in this file prevents the controller from starting; an error in the policy
 * script ([org.elderhitch.settings.PolicyScript]) does not.
 */
public object FeaturesFile {
    private const val CLASSES = "classes"
    private const val REPEATS = "repeats"
    private const val ATTEMPTS = "attempts"
    private const val MAX_ATTEMPTS = 1000

    /**
     * Class names of the [SectionReader]s. They are strings so that the classes of a disabled feature are never loaded.
     */
    private val sectionReaders = mapOf(
        "drmaa" to "org.elderhitch.drmaa.DrmaaSection",
        "sweeps" to "org.elderhitch.sweeps.SweepsSection",
    )

    /** Reads [file]. Throws [ScriptException], whose message names file, line and key. */
    public fun load(file: File): Features {
        val script = try {
            file.readText()
        } catch (e: IOException) {
            throw ScriptException("cannot read $file: ${e.message}", e)
        }
        return parse(file, script)
    }

    /** Parses the text of [file]. Throws [ScriptException], whose message names file, line and key. */
    public fun parse(file: File, script: String): Features {
        val table = LuaScript.table(file.name, script)
        table.requireKnownKeys(sectionReaders.keys + CLASSES)
        val rules = table.sectionOrNull(CLASSES)?.let(::classRules) ?: ClassRules.NONE
        val factories = sectionReaders.filterKeys(table::has).map { (name, className) ->
            val section = table.sectionOrNull(name) ?: table.fail(name, "must be a table")
            sectionReader(className).read(section, file)
        }
        return Features(rules, factories)
    }

    private fun sectionReader(className: String): SectionReader =
        Class.forName(className).getDeclaredConstructor().newInstance() as SectionReader

    private fun classRules(classes: LuaSection): ClassRules =
        ClassRules(classes.keys.associateWith { classRule(classes, it) })

    private fun classRule(classes: LuaSection, name: String): ClassRule {
        val section = classes.sectionOrNull(name) ?: classes.fail(name, "must be a table")
        section.requireKnownKeys(listOf(REPEATS, ATTEMPTS))
        return ClassRule(section.booleanOrNull(REPEATS) ?: true, section.intOrNull(ATTEMPTS, 1, MAX_ATTEMPTS))
    }
}
