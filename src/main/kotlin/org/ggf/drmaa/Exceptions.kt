// The exceptions of the DRMAA 1.0 Java binding as the Open Grid Forum published it; written from the specification.
package org.ggf.drmaa

/** Base class of the exceptions of DRMAA operations. */
public abstract class DrmaaException @JvmOverloads constructor(message: String? = null) : Exception(message)

/** The session is not in the state that the operation requires. */
public abstract class SessionException @JvmOverloads constructor(message: String? = null) : DrmaaException(message)

/** The job is not in the state that the action requires. */
public abstract class InconsistentStateException @JvmOverloads constructor(message: String? = null) :
    DrmaaException(message)

/** An attribute of a job template is not valid. */
public abstract class InvalidAttributeException @JvmOverloads constructor(message: String? = null) :
    DrmaaException(message)

/** Another session is active in this [Session]. */
public class AlreadyActiveSessionException @JvmOverloads constructor(message: String? = null) :
    SessionException(message)

/** The user may not do this. */
public class AuthorizationException @JvmOverloads constructor(message: String? = null) : DrmaaException(message)

/** Two attributes contradict each other. */
public class ConflictingAttributeValuesException @JvmOverloads constructor(message: String? = null) :
    InvalidAttributeException(message)

/** The default contact string can't be used. */
public class DefaultContactStringException @JvmOverloads constructor(message: String? = null) :
    SessionException(message)

/** The scheduler's rules or limits don't allow it, now or ever. */
public class DeniedByDrmException @JvmOverloads constructor(message: String? = null) : DrmaaException(message)

/** The scheduler can't be reached, or doesn't answer. */
public class DrmCommunicationException @JvmOverloads constructor(message: String? = null) : DrmaaException(message)

/** The session could not be left cleanly. */
public class DrmsExitException @JvmOverloads constructor(message: String? = null) : SessionException(message)

/** The session could not be entered. */
public class DrmsInitException @JvmOverloads constructor(message: String? = null) : SessionException(message)

/** A wait exceeded its timeout. */
public class ExitTimeoutException @JvmOverloads constructor(message: String? = null) : DrmaaException(message)

/** The job can't be held in its present state. */
public class HoldInconsistentStateException @JvmOverloads constructor(message: String? = null) :
    InconsistentStateException(message)

/** A failure that no other exception describes. */
public class InternalException @JvmOverloads constructor(message: String? = null) : DrmaaException(message)

/** An attribute's value does not have the required format. */
public class InvalidAttributeFormatException @JvmOverloads constructor(message: String? = null) :
    InvalidAttributeException(message)

/** An attribute's value is not allowed. */
public class InvalidAttributeValueException @JvmOverloads constructor(message: String? = null) :
    InvalidAttributeException(message)

/** The contact string is malformed. */
public class InvalidContactStringException @JvmOverloads constructor(message: String? = null) :
    SessionException(message)

/** The job does not exist in this session, or its result was already taken. */
public class InvalidJobException @JvmOverloads constructor(message: String? = null) : DrmaaException(message)

/** The template was deleted, belongs to another session, or lacks a required attribute. */
public class InvalidJobTemplateException @JvmOverloads constructor(message: String? = null) : DrmaaException(message)

/** [Session.init] was not called, or the session has ended. */
public class NoActiveSessionException @JvmOverloads constructor(message: String? = null) : SessionException(message)

/** No contact string was given, and there is no default. */
public class NoDefaultContactStringException @JvmOverloads constructor(message: String? = null) :
    SessionException(message)

/** The job can't be released in its present state. */
public class ReleaseInconsistentStateException @JvmOverloads constructor(message: String? = null) :
    InconsistentStateException(message)

/** The job can't be resumed in its present state. */
public class ResumeInconsistentStateException @JvmOverloads constructor(message: String? = null) :
    InconsistentStateException(message)

/** The job can't be suspended in its present state. */
public class SuspendInconsistentStateException @JvmOverloads constructor(message: String? = null) :
    InconsistentStateException(message)

/** The scheduler can't accept the request now, but may later. */
public class TryLaterException @JvmOverloads constructor(message: String? = null) : DrmaaException(message)

/** An optional attribute that this implementation doesn't support. */
public class UnsupportedAttributeException @JvmOverloads constructor(message: String? = null) :
    InvalidAttributeException(message)
