package org.elderhitch.app

/** Sets up the log before the first logger is made. */
internal object Logging {
    private val levels = setOf("error", "info", "debug")

    fun configure(level: String?) {
        val chosen = level?.lowercase()?.takeIf { it in levels } ?: "info"
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", chosen)
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "false")
        System.setProperty("org.slf4j.simpleLogger.showDateTime", "true")
        System.setProperty("slf4j.internal.verbosity", "WARN")
    }
}
