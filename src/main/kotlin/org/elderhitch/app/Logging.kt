package org.elderhitch.app

/** The configuration of the log, which slf4j-simple reads from system properties when the first logger is created. */
internal object Logging {
    private const val DEFAULT_LEVEL = "info"
    private val levels = setOf("error", DEFAULT_LEVEL, "debug")

    /** Sets the level, [DEFAULT_LEVEL] if [level] is none of the known ones. Call it before any logger is created. */
    fun configure(level: String?) {
        val knownLevel = level?.lowercase()?.takeIf { it in levels } ?: DEFAULT_LEVEL
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", knownLevel)
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "false")
        System.setProperty("org.slf4j.simpleLogger.showDateTime", "true")
        System.setProperty("slf4j.internal.verbosity", "WARN")
    }
}
