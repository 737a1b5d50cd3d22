package org.elderhitch.drmaa

import org.elderhitch.features.FeatureFactory
import org.elderhitch.features.SectionReader
import org.elderhitch.settings.LuaSection
import java.io.File
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days

/** Settings of the DRMAA interface. */
public class DrmaaSettings(
    public val tokens: Tokens,
    public val networks: Networks,
    public val categories: Map<String, Map<String, Any?>>,
    public val sessionsPerTeam: Int = 50,
    /** Limit of a session's open jobs and untaken results; each member of a bulk job counts. */
    public val resultsPerSession: Int = 200_000,
    public val heldPerTeam: Int = 500,
    /** How long an untaken result is kept after its job has ended. */
    public val keepResults: Duration = 7.days,
    /** How long an unused session stays open, and how long a job may stay on hold. */
    public val keepSessions: Duration = 30.days,
)

/** Reads the section `drmaa` of the features file. */
public class DrmaaSection : SectionReader {
    override fun read(section: LuaSection, file: File): FeatureFactory {
        val settings = settings(section, file)
        return FeatureFactory { Drmaa(settings, it) }
    }

    internal fun settings(section: LuaSection, file: File): DrmaaSettings {
        section.requireKnownKeys(KEYS)
        val keyFile = section.stringOrNull("keys") ?: section.fail(
            "keys",
            "missing: DRMAA needs a key file",
        )
        val tokens = try {
            Tokens.load(File(keyFile).let { if (it.isAbsolute) it else File(file.absoluteFile.parentFile, keyFile) })
        } catch (e: InvalidKeyFile) {
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
            section.intOrNull("sessions_per_team", 1, MAX_SESSIONS) ?: defaults.sessionsPerTeam,
            section.intOrNull("results_per_session", 1, MAX_RESULTS) ?: defaults.resultsPerSession,
            section.intOrNull("held_per_team", 0, MAX_HELD) ?: defaults.heldPerTeam,
            section.numberOrNull("keep_results_days", MIN_DAYS, MAX_DAYS)?.days ?: defaults.keepResults,
            section.numberOrNull("keep_sessions_days", MIN_SESSION_DAYS, MAX_DAYS)?.days ?: defaults.keepSessions,
        )
    }

    private fun categories(section: LuaSection): Map<String, Map<String, Any?>> = section.keys.associateWith { name ->
        val category = section.sectionOrNull(name) ?: section.fail(name, "must be a table of native job fields")
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
        const val MAX_SESSIONS = 1000
        const val MAX_RESULTS = 1_000_000
        const val MAX_HELD = 5000
        const val MIN_DAYS = 0.01

        /** Above the hour within which the recorded time of a session's last use may lag. */
        const val MIN_SESSION_DAYS = 0.1
        const val MAX_DAYS = 3650.0
    }
}
