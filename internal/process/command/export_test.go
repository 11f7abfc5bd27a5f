package command

// IntakeSettings exposes provideIntakeSettings to the tests.
var IntakeSettings = provideIntakeSettings

// NewCallEntry exposes provideCallEntry to the tests.
var NewCallEntry = provideCallEntry
