package org.elderhitch.drmaa

import org.elderhitch.features.FeatureFactory
import org.elderhitch.features.SectionReader
import org.elderhitch.settings.LuaSection
import java.io.File
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days

/** What the operators set for DRMAA. */
public class DrmaaSettings(
    public val tokens: Tokens,
    public val networks: Networks,
    public val categories: Map<String, Map<String, Any?>>,
    public val sessionsPerTeam: Int = 50,
    /** Open jobs and results that nobody took, of one session; a bulk job counts by its members. */
    public val resultsPerSession: Int = 200_000,
    public val heldPerTeam: Int = 500,
    /** How long a result that nobody took is kept. */
    public val keepResults: Duration = 7.days,
    /** How long a session that nobody uses is kept. */
    public val keepSessions: Duration = 30.days,
)

/** The section `drmaa` of the features file. */
public class DrmaaSection : SectionReader {
    override fun read(section: LuaSection, file: File): FeatureFactory {
        val settings = settings(section, file)
        return FeatureFactory { Drmaa(settings, it) }
    }

    internal fun settings(section: LuaSection, file: File): DrmaaSettings {
        section.requireKnownKeys(KEYS)
        val keyFile = section.stringOrNull("keys") ?: section.fail(
            "keys",
            "missing: DRMAA doesn't start without a key file",
        )
        val tokens = try {
            Tokens.load(File(keyFile).let { if (it.isAbsolute) it else File(file.absoluteFile.parentFile, keyFile) })
        } catch (e: BadKeys) {
            section.fail("keys", e.message.orEmpty())
        }
        val networks = try {
            Networks.of(section.stringsOrNull("networks") ?: Networks.LOOPBACK)
        } catch (e: IllegalArgumentException) {
            section.fail("networks", e.message.orEmpty())
        }
        val defaults = DrmaaSettings(tokens, networks, emptyMap())
        return DrmaaSettings(
            tokens,
            networks,
            section.sectionOrNull("categories")?.let(::categories).orEmpty(),
            section.intOrNull("sessions_per_team", 1, MOST_SESSIONS) ?: defaults.sessionsPerTeam,
            section.intOrNull("results_per_session", 1, MOST_RESULTS) ?: defaults.resultsPerSession,
            section.intOrNull("held_per_team", 0, MOST_HELD) ?: defaults.heldPerTeam,
            section.numberOrNull("keep_results_days", LEAST_DAYS, MOST_DAYS)?.days ?: defaults.keepResults,
            section.numberOrNull("keep_sessions_days", LEAST_SESSION_DAYS, MOST_DAYS)?.days ?: defaults.keepSessions,
        )
    }

    private fun categories(section: LuaSection): Map<String, Map<String, Any?>> = section.keys.associateWith { name ->
        val category = section.sectionOrNull(name) ?: section.fail(name, "must be a table of a native job's fields")
        category.requireKnownKeys(TemplateCheck.CATEGORY_FIELDS)
        category.keys.associateWith { category.jsonValueOrNull(it) }
    }

    private companion object {
        val KEYS = listOf(
            "keys",
            "networks",
            "categories",
            "sessions_per_team",
            "results_per_session",
            "held_per_team",
            "keep_results_days",
            "keep_sessions_days",
        )
        const val MOST_SESSIONS = 1000
        const val MOST_RESULTS = 1_000_000
        const val MOST_HELD = 5000
        const val LEAST_DAYS = 0.01

        /** That a session is in use is left in the state service once an hour. */
        const val LEAST_SESSION_DAYS = 0.1
        const val MOST_DAYS = 3650.0
    }
}
