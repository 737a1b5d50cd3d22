package org.elderhitch.app

/** The configuration of slf4j-simple, which reads it from system properties when the first logger is created. */
internal object Logging {
    private const val DEFAULT_LEVEL = "info"
    private val levels = setOf("error", DEFAULT_LEVEL, "debug")

    /** Sets the log level, or [DEFAULT_LEVEL] if [level] is unknown. Must be called before any logger is created. */
    fun configure(level: String?) {
        val knownLevel = level?.lowercase()?.takeIf { it in levels } ?: DEFAULT_LEVEL
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", knownLevel)
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "false")
        System.setProperty("org.slf4j.simpleLogger.showDateTime", "true")
        System.setProperty("slf4j.internal.verbosity", "WARN")
    }
}
